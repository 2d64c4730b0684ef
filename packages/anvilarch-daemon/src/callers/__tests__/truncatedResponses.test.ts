import { createServer } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { abortResponse, watchConnectionEnd } from 'anvilarch-utils'
import type { FakeAgentOptions } from '../../attempts/__fixtures__/fakeAgent'
import { startTestGateway, type TestGateway } from '../../attempts/__fixtures__/testGateway'

const CHAT = JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'x' }] })
const LARGE = 'x'.repeat(100_000)
const REPETITIONS = 20

let gateway: TestGateway
beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })

/** Starts a gateway with an agent that fails after the first part of its response was forwarded. */
async function startWithFailingAgent (agent: Omit<FakeAgentOptions, 'name'>): Promise<void> {
  gateway = await startTestGateway({ agents: [{ name: 'a1', hold: true, ...agent }] })
  gateway.agents[0].faults.dieAfterChunks = 2
}

/** @returns the text that a caller reads on its own connection, and how the connection ends */
async function readFrom (port: number, request: string, onData: () => void): Promise<{ text: string, ending: string }> {
  const socket = connect(port, '127.0.0.1')
  socket.write(request)
  let text = ''
  return await new Promise(resolve => {
    socket.on('data', data => {
      text += data.toString()
      onData()
      if (text.endsWith('\r\n0\r\n\r\n')) resolve({ text, ending: 'complete' })
    })
    socket.on('error', error => { resolve({ text, ending: (error as { code?: string }).code ?? '' }) })
    // Node.js reports no error for a reset that arrives together with data.
    watchConnectionEnd(socket, end => { resolve({ text, ending: end === 'closed' ? 'closed' : 'ECONNRESET' }) })
  })
}

async function read (request: string, onData = (): void => { gateway.agents[0].release() }): Promise<{ text: string, ending: string }> {
  return await readFrom(Number(gateway.callers.address.split(':')[1]), request, onData)
}

/** How a response of unknown length ends for each HTTP version if it is incomplete: by a reset, or without the last chunk. */
const TRUNCATION_ENDINGS = [['1.0', 'ECONNRESET'], ['1.1', 'closed']]

describe('a response that fails after its head was sent', () => {
  afterEach(async () => { await gateway.stop() })

  // Guards against an HTTP/1.0 caller, to which a close marks the end of a response, that takes a partial response for complete.
  it.each(TRUNCATION_ENDINGS)('does not look complete if it comes from a plain service, for HTTP/%s', async (version, expected) => {
    await startWithFailingAgent({ answer: () => [LARGE, LARGE, LARGE] })
    const { text, ending } = await read(`GET /services/names/names/a HTTP/${version}\r\nhost: x\r\n\r\n`)
    expect(text).toMatch(/^HTTP\/1.1 200/)
    expect(/^transfer-encoding: chunked\r$/im.test(text)).toBe(version === '1.1')
    expect(ending).toBe(expected)
  })

  it.each(TRUNCATION_ENDINGS)('does not look complete if the drain times out, for HTTP/%s', async (version, expected) => {
    gateway = await startTestGateway({ agents: [{ name: 'a1', hold: true, answer: () => [LARGE, LARGE] }], gateway: { drainTimeoutMs: 50 } })
    const reading = read(`GET /services/names/names/a HTTP/${version}\r\nhost: x\r\n\r\n`, () => { gateway.callers.drain().catch(() => {}) })
    expect((await reading).ending).toBe(expected)
  })

  // Guards against a truncated JSON response that ends regularly with an error event, which a JSON client does not parse.
  it.each(TRUNCATION_ENDINGS)('does not look complete if a stream was requested and the response is not one, for HTTP/%s', async (version, expected) => {
    await startWithFailingAgent({ kind: 'model', contentType: 'application/json', answer: () => ['{"choices":[', '1', ']}'] })
    const { text, ending } = await read(`POST /v1/chat/completions HTTP/${version}\r\nhost: x\r\ncontent-length: ${CHAT.length}\r\n\r\n${CHAT}`)
    expect(text).not.toContain('data:')
    expect(ending).toBe(expected)
  })
})

describe('abortResponse', () => {
  // Guards against a needless reset, which discards bytes in transit, where the caller detects a truncated response by other means.
  it.each([
    ['1.0', {}, 'ECONNRESET'],
    ['1.0', { 'content-length': '9' }, 'closed'],
    ['1.1', {}, 'closed'],
    ['1.1', { 'content-length': '9' }, 'closed']
  ])('resets only responses without length and chunks: HTTP/%s with %j', async (version, headers, expected) => {
    let abort = (): void => {}
    const server = createServer((_request, response) => {
      for (const [name, value] of Object.entries(headers)) response.setHeader(name, value)
      response.write('half')
      abort = () => { abortResponse(response) }
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { text, ending } = await readFrom((server.address() as AddressInfo).port, `GET / HTTP/${version}\r\nhost: x\r\n\r\n`, () => { abort() })
    server.close()
    expect(text).toContain('half')
    expect(ending).toBe(expected)
  })

  it('resets a response without length and chunks right after its last bytes', async () => {
    const server = createServer((_request, response) => {
      response.write('half')
      setImmediate(() => { abortResponse(response) })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    for (let count = 0; count < REPETITIONS; count++) {
      const { ending } = await readFrom((server.address() as AddressInfo).port, 'GET / HTTP/1.0\r\nhost: x\r\n\r\n', () => {})
      expect(ending).toBe('ECONNRESET')
    }
    server.close()
  })
})
