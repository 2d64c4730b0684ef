import { connect } from 'node:net'
import { startTestGateway, type TestGateway } from '../../attempts/__fixtures__/testGateway'

const CHAT = JSON.stringify({ model: 'writer', stream: true, messages: [{ role: 'user', content: 'x' }] })

let gateway: TestGateway
beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })
afterEach(async () => { await gateway.stop() })

/** @returns what a caller receives until its connection closes */
async function read (request: string): Promise<string> {
  const socket = connect(Number(gateway.callers.address.split(':')[1]), '127.0.0.1')
  let text = ''
  socket.on('data', data => { text += data.toString() })
  socket.on('error', () => {})
  socket.write(request)
  return await new Promise(resolve => { socket.once('close', () => { resolve(text) }) })
}

async function until (condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 400 && !condition(); tries++) await new Promise(resolve => { setTimeout(resolve, 5) })
  expect(condition()).toBe(true)
}

// Guards against a connection that is closed without a response although the request was read.
describe('a request without any output when the drain times out', () => {
  it.each([
    ['a call of a plain service', 'plain' as const, 'GET /services/names/names/a HTTP/1.1\r\nhost: x\r\n\r\n'],
    ['a call with a key', 'plain' as const, 'POST /services/names/names/a/reservations HTTP/1.1\r\nhost: x\r\nidempotency-key: k1\r\ncontent-length: 2\r\n\r\n{}'],
    ['a completion', 'model' as const, `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${CHAT.length}\r\n\r\n${CHAT}`]
  ])('gets a complete response if it is %s', async (_name, kind, request) => {
    gateway = await startTestGateway({ agents: [{ name: 'a1', kind, hold: true, answer: () => ['', 'x'] }], gateway: { drainTimeoutMs: 50 } })
    const reading = read(request)
    await until(() => gateway.agents[0].executions.length === 1)
    await gateway.callers.drain()
    expect(await reading).toMatch(/^HTTP\/1.1 502[^]*x-should-retry: false[^]*"code":"outcome_unknown"[^]*"ran":"unknown"/i)
  })
})
