import { connect } from 'node:net'
import type { FakeAgentOptions } from '../../attempts/__fixtures__/fakeAgent'
import { startTestGateway, type TestGateway } from '../../attempts/__fixtures__/testGateway'

const CHAT = JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'x' }] })
const LARGE = 'x'.repeat(100_000)

let gateway: TestGateway
beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })
afterEach(async () => { await gateway.stop() })

/** Starts a gateway before an agent that is lost once the first part of its answer was passed on. */
async function startBreaking (agent: Omit<FakeAgentOptions, 'name'>): Promise<void> {
  gateway = await startTestGateway({ agents: [{ name: 'a1', hold: true, ...agent }] })
  gateway.agents[0].faults.dieAfterChunks = 2
}

/** @returns what a caller on a connection of its own reads, and how the connection ends */
async function read (request: string, onData = (): void => { gateway.agents[0].release() }): Promise<{ text: string, ending: string }> {
  const socket = connect(Number(gateway.callers.address.split(':')[1]), '127.0.0.1')
  socket.write(request)
  let text = ''
  return await new Promise(resolve => {
    socket.on('data', data => {
      text += data.toString()
      onData()
      if (text.endsWith('\r\n0\r\n\r\n')) resolve({ text, ending: 'whole' })
    })
    socket.on('end', () => { resolve({ text, ending: 'closed' }) })
    socket.on('error', error => { resolve({ text, ending: (error as { code?: string }).code ?? '' }) })
  })
}

describe('an answer that breaks off after its head was sent', () => {
  // Guards against this: a caller of HTTP/1.0, to whom the close is the end of an answer, takes a part for the whole.
  it.each(['1.0', '1.1'])('is cut by a reset when it is the answer of a plain service, for HTTP/%s', async version => {
    await startBreaking({ answer: () => [LARGE, LARGE, LARGE] })
    const { text, ending } = await read(`GET /services/names/names/a HTTP/${version}\r\nhost: x\r\n\r\n`)
    expect(text).toMatch(/^HTTP\/1.1 200/)
    expect(ending).toBe('ECONNRESET')
  })

  it('is cut by a reset when the drain takes too long', async () => {
    gateway = await startTestGateway({ agents: [{ name: 'a1', hold: true, answer: () => [LARGE, LARGE] }], gateway: { drainTimeoutMs: 50 } })
    const reading = read('GET /services/names/names/a HTTP/1.0\r\nhost: x\r\n\r\n', () => { gateway.callers.drain().catch(() => {}) })
    expect((await reading).ending).toBe('ECONNRESET')
  })

  // Guards against this: part of an answer has the frame of a whole one, with an error event that no reader of JSON sees.
  it.each(['1.0', '1.1'])('is cut by a reset when a stream was asked for and the answer is none, for HTTP/%s', async version => {
    await startBreaking({ kind: 'model', contentType: 'application/json', answer: () => ['{"choices":[', '1', ']}'] })
    const { text, ending } = await read(`POST /v1/chat/completions HTTP/${version}\r\nhost: x\r\ncontent-length: ${CHAT.length}\r\n\r\n${CHAT}`)
    expect(text).not.toContain('data:')
    expect(ending).toBe('ECONNRESET')
  })
})
