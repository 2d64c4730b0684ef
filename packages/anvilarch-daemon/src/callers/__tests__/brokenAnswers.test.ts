import { createServer } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { abortResponse } from 'anvilarch-utils'
import type { FakeAgentOptions } from '../../attempts/__fixtures__/fakeAgent'
import { startTestGateway, type TestGateway } from '../../attempts/__fixtures__/testGateway'

const CHAT = JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'x' }] })
const LARGE = 'x'.repeat(100_000)

let gateway: TestGateway
beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })

/** Starts a gateway before an agent that is lost once the first part of its answer was passed on. */
async function startBreaking (agent: Omit<FakeAgentOptions, 'name'>): Promise<void> {
  gateway = await startTestGateway({ agents: [{ name: 'a1', hold: true, ...agent }] })
  gateway.agents[0].faults.dieAfterChunks = 2
}

/** @returns what a caller on a connection of its own reads, and how the connection ends */
async function readFrom (port: number, request: string, onData: () => void): Promise<{ text: string, ending: string }> {
  const socket = connect(port, '127.0.0.1')
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

async function read (request: string, onData = (): void => { gateway.agents[0].release() }): Promise<{ text: string, ending: string }> {
  return await readFrom(Number(gateway.callers.address.split(':')[1]), request, onData)
}

/** How a caller of each version sees that an answer in parts is not whole: an error, or chunks without the last one. */
const BREAKS = [['1.0', 'ECONNRESET'], ['1.1', 'closed']]

describe('an answer that breaks off after its head was sent', () => {
  afterEach(async () => { await gateway.stop() })

  // Guards against this: a caller of HTTP/1.0, to whom the close is the end of an answer, takes a part for the whole.
  it.each(BREAKS)('does not look whole when it is the answer of a plain service, for HTTP/%s', async (version, expected) => {
    await startBreaking({ answer: () => [LARGE, LARGE, LARGE] })
    const { text, ending } = await read(`GET /services/names/names/a HTTP/${version}\r\nhost: x\r\n\r\n`)
    expect(text).toMatch(/^HTTP\/1.1 200/)
    expect(/^transfer-encoding: chunked\r$/im.test(text)).toBe(version === '1.1')
    expect(ending).toBe(expected)
  })

  it.each(BREAKS)('does not look whole when the drain takes too long, for HTTP/%s', async (version, expected) => {
    gateway = await startTestGateway({ agents: [{ name: 'a1', hold: true, answer: () => [LARGE, LARGE] }], gateway: { drainTimeoutMs: 50 } })
    const reading = read(`GET /services/names/names/a HTTP/${version}\r\nhost: x\r\n\r\n`, () => { gateway.callers.drain().catch(() => {}) })
    expect((await reading).ending).toBe(expected)
  })

  // Guards against this: part of an answer has the frame of a whole one, with an error event that no reader of JSON sees.
  it.each(BREAKS)('does not look whole when a stream was asked for and the answer is none, for HTTP/%s', async (version, expected) => {
    await startBreaking({ kind: 'model', contentType: 'application/json', answer: () => ['{"choices":[', '1', ']}'] })
    const { text, ending } = await read(`POST /v1/chat/completions HTTP/${version}\r\nhost: x\r\ncontent-length: ${CHAT.length}\r\n\r\n${CHAT}`)
    expect(text).not.toContain('data:')
    expect(ending).toBe(expected)
  })
})

describe('abortResponse', () => {
  // Guards against this: a reset drops bytes of an answer that are on their way, though its caller needs no reset to see that it is cut.
  it.each([
    ['1.0', {}, 'ECONNRESET'],
    ['1.0', { 'content-length': '9' }, 'closed'],
    ['1.1', {}, 'closed'],
    ['1.1', { 'content-length': '9' }, 'closed']
  ])('resets only what has neither length nor chunks: HTTP/%s with %j', async (version, headers, expected) => {
    let cut = (): void => {}
    const server = createServer((_request, response) => {
      for (const [name, value] of Object.entries(headers)) response.setHeader(name, value)
      response.write('half')
      cut = () => { abortResponse(response) }
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { text, ending } = await readFrom((server.address() as AddressInfo).port, `GET / HTTP/${version}\r\nhost: x\r\n\r\n`, () => { cut() })
    server.close()
    expect(text).toContain('half')
    expect(ending).toBe(expected)
  })
})
