import { createServer, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { createSystemClock } from 'anvilarch-utils'
import { respondToClientErrors } from '../clientErrors'

const HEADERS_TIMEOUT_MS = 100

/** Exceeds the time after which Node.js has reported a head that is late. */
const CHECKED_MS = 400

let server: Server
let responses: ServerResponse[]
let socket: Socket
let received: string
let isClosed: boolean

beforeEach(async () => {
  responses = []
  received = ''
  isClosed = false
  server = createServer({ headersTimeout: HEADERS_TIMEOUT_MS, connectionsCheckingInterval: 50 }, (_request, response) => { responses.push(response) })
  respondToClientErrors(server, createSystemClock())
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('data', data => { received += String(data) })
  socket.on('error', () => {})
  socket.on('close', () => { isClosed = true })
})

afterEach(() => {
  socket.destroy()
  server.close()
  server.closeAllConnections()
})

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

async function until (condition: () => boolean): Promise<void> {
  for (let tries = 0; !condition(); tries++) {
    if (tries > 400) throw new Error(`condition not met: ${condition.toString()}`)
    await pause(5)
  }
}

describe('a head that stays incomplete for longer than the header timeout', () => {
  // Guards against a response that is cut, or replaced by an error, although its own request had come whole.
  it.each([true, false])('does not end the response before it, but its connection after that (begun: %s)', async hasBegun => {
    socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
    await until(() => responses.length === 1)
    if (hasBegun) responses[0].write('first half, ')
    socket.write('GET /2 HTTP/1.1\r\nHo')
    await pause(CHECKED_MS)
    responses[0].end('second half')
    await until(() => isClosed)
    expect(received).toMatch(/^HTTP\/1\.1 200 [^]*second half(\r\n0\r\n\r\n)?$/)
    expect(responses).toHaveLength(1)
  })

  it('is answered with 408 if nothing is before it', async () => {
    socket.write('GET /2 HTTP/1.1\r\nHo')
    await until(() => isClosed)
    expect(received).toMatch(/^HTTP\/1\.1 408 /)
  })

  // Guards against a request that runs and gets no response.
  it('is answered after the response before it if it is completed after all', async () => {
    socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
    await until(() => responses.length === 1)
    socket.write('GET /2 HTTP/1.1\r\nHo')
    await pause(CHECKED_MS)
    socket.write('st: h\r\n\r\n')
    await until(() => responses.length === 2)
    responses[0].end('first')
    await pause(50)
    responses[1].end('second')
    await until(() => isClosed)
    expect(received).toMatch(/first[^]*second/)
  })
})

describe('bytes that are not HTTP', () => {
  // Guards against a request that runs and is said not to have run, or whose response is cut, because of the bytes after it.
  it.each([true, false])('do not end the response before them, but its connection after that (begun: %s)', async hasBegun => {
    socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\n')
    await until(() => responses.length === 1)
    if (hasBegun) responses[0].write('first half, ')
    socket.write('no request\r\n\r\n')
    await pause(50)
    responses[0].end('second half')
    await until(() => isClosed)
    expect(received).toMatch(/^HTTP\/1\.1 200 [^]*second half(\r\n0\r\n\r\n)?$/)
  })

  it('are answered with 400 within a body', async () => {
    socket.write('POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
    await until(() => responses.length === 1)
    socket.write('no chunk\r\n')
    await until(() => isClosed)
    expect(received).toMatch(/^HTTP\/1\.1 400 /)
  })
})
