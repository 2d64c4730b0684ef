import { createServer, type RequestListener, type Server } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { createSystemClock, sleep } from 'anvilarch-utils'
import { createGracefulCloser, type GracefulCloser } from '../gracefulClose'

/** More than the send buffer of a connection holds. */
const LARGE_BYTES = 20_000_000

/** Less than a send buffer holds, and more than a receive buffer does. */
const MEDIUM_BYTES = 2_000_000

const TIMEOUT_MS = 10_000
const PAUSE_MS = 100

const clock = createSystemClock()
let server: Server
let closer: GracefulCloser
let client: Socket

async function open (listener: RequestListener): Promise<void> {
  server = createServer(listener)
  closer = createGracefulCloser(server, clock, response => response.end())
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  client.on('error', () => {})
}

const get = (path: string): void => { client.write(`GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`) }

/** @returns the bytes that the client receives until its connection closes */
async function readAll (): Promise<number> {
  let sizeBytes = 0
  client.on('data', data => { sizeBytes += data.length })
  client.resume()
  await new Promise(resolve => { client.once('close', resolve) })
  return sizeBytes
}

describe('a graceful close', () => {
  afterEach(() => {
    client.destroy()
    server.closeAllConnections()
  })

  it('does not cut a response that has been ended while its client reads slowly', async () => {
    await open((_request, response) => { response.end(Buffer.alloc(LARGE_BYTES)) })
    client.pause()
    get('/')
    await sleep(clock, PAUSE_MS)
    const closed = closer.close(TIMEOUT_MS)
    await sleep(clock, PAUSE_MS)
    expect(await readAll()).toBeGreaterThan(LARGE_BYTES)
    expect(await closed).toBe(true)
  })

  // Guards against a connection reset that discards the unread end of a response.
  it('does not cut a response whose client sends its next request before it has read it', async () => {
    await open((request, response) => {
      if (request.socket.writable) response.end(Buffer.alloc(MEDIUM_BYTES))
    })
    client.pause()
    get('/first')
    await sleep(clock, PAUSE_MS)
    const closed = closer.close(TIMEOUT_MS)
    await sleep(clock, PAUSE_MS)
    get('/second')
    await sleep(clock, PAUSE_MS)
    expect(await readAll()).toBeGreaterThan(MEDIUM_BYTES)
    expect(await closed).toBe(true)
  })

  it('serves a request whose head is arriving, and closes its connection afterwards', async () => {
    await open((_request, response) => { response.end('whole') })
    client.write('GET / HTTP/1.1\r\nho')
    await sleep(clock, PAUSE_MS)
    const closed = closer.close(TIMEOUT_MS)
    await sleep(clock, PAUSE_MS)
    client.write('st: x\r\n\r\n')
    expect(await readAll()).toBeGreaterThan(0)
    expect(await closed).toBe(true)
  })

  it('closes a connection whose request was answered before its body ended, once the body has ended', async () => {
    await open((_request, response) => { response.end('refused') })
    client.write('POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nab')
    await sleep(clock, PAUSE_MS)
    const closed = closer.close(TIMEOUT_MS)
    await sleep(clock, PAUSE_MS)
    client.write('cd')
    await readAll()
    expect(await closed).toBe(true)
  })
})
