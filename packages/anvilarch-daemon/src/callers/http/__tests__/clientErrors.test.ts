import { createServer, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { respondToClientErrors } from '../clientErrors'

/** Exceeds the interval at which Node.js checks for heads that are late. */
const CHECKED_MS = 300

let server: Server
let client: Socket
let responses: ServerResponse[]
let received: string
let closed: Promise<unknown>

beforeEach(async () => {
  responses = []
  received = ''
  server = createServer({ headersTimeout: 100, connectionsCheckingInterval: 50 }, (_request, response) => { responses.push(response) })
  respondToClientErrors(server)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  client.on('error', () => {})
  client.on('data', data => { received += data.toString() })
  closed = new Promise(resolve => { client.once('close', resolve) })
})

afterEach(() => {
  client.destroy()
  server.closeAllConnections()
  server.close()
})

async function wait (timeMs: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, timeMs) })
}

// Guards against a request that is said not to have run, or whose response is cut, because of the bytes after it.
describe.each([
  ['that stays incomplete', 'GET /2 HTTP/1.1\r\nHo'],
  ['that is not HTTP', 'no request\r\n\r\n']
])('a next request %s', (_name, bytes) => {
  it.each([false, true])('leaves the response before it as it is, and ends its connection after that (begun: %s)', async isBegun => {
    client.write('GET /1 HTTP/1.1\r\nhost: x\r\n\r\n')
    await wait(CHECKED_MS / 2)
    if (isBegun) responses[0].write('first half, ')
    client.write(bytes)
    await wait(CHECKED_MS)
    expect(received).toMatch(isBegun ? /^HTTP\/1.1 200/ : /^$/)
    responses[0].end('second half')
    await closed
    expect(received).toMatch(/^HTTP\/1.1 200[^]*second half/)
    expect(received.match(/HTTP\/1.1/g)).toHaveLength(1)
  })
})

it('responds to a body that is not HTTP', async () => {
  client.write('POST /1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n')
  await wait(CHECKED_MS / 2)
  client.write('no chunk\r\n')
  await closed
  expect(received).toMatch(/^HTTP\/1.1 400[^]*the request is not valid HTTP/)
})

it('responds to a first request that stays incomplete', async () => {
  client.write('GET /1 HTTP/1.1\r\nHo')
  await closed
  expect(received).toMatch(/^HTTP\/1.1 408/)
})
