import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { createFakeClock, createSystemClock, abortResponse, MAX_WAITING_REQUESTS, SILENT_LOGGER } from 'anvilarch-utils'
import { AMPLE_LIMITS } from '../__fixtures__/ampleLimits'
import type { EventLog } from '../../telemetry/events'
import { createServingMetrics } from '../../telemetry/metrics'
import { cutReasonOf } from '../../requests/clientResponse'
import { type ClientServer, createClientServer } from '../clientServer'
import { EXCESS_FACTOR, MIN_USUAL_PER_SECOND, USUAL_SECONDS } from '../connectionAdmission'

let clients: ClientServer
let handled: Array<{ path: string, response: ServerResponse }>
let dropped: string[]
let onHandled: (path: string, response: ServerResponse) => void

beforeEach(async () => {
  handled = []
  onHandled = () => {}
  const onRequest = ({ url = '' }: IncomingMessage, response: ServerResponse): void => {
    handled.push({ path: url, response })
    onHandled(url, response)
  }
  dropped = []
  const onDropped = ({ url = '' }: IncomingMessage): void => { dropped.push(url) }
  clients = createClientServer({ ...AMPLE_LIMITS, log: SILENT_LOGGER as EventLog, clock: createSystemClock(), metrics: createServingMetrics(), maxLatenessMs: () => Infinity, onRequest, onDropped })
  await new Promise<void>(resolve => clients.server.listen(0, '127.0.0.1', resolve))
})

afterEach(() => { clients.close() })

async function until (condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200; tries++) {
    if (condition()) return
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  throw new Error('condition not met within 1 s')
}

/** @returns a client that has sent pipelined requests for these paths */
async function openClient (...paths: string[]): Promise<{ socket: Socket, received: () => string, closed: () => boolean }> {
  const socket = connect((clients.server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  let isClosed = false
  socket.on('data', data => { text += String(data) })
  socket.on('close', () => { isClosed = true })
  socket.on('error', () => {})
  socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''))
  await until(() => clients.unfinishedRequests().length === paths.length)
  return { socket, received: () => text, closed: () => isClosed }
}

describe('pipelined requests', () => {
  it('are handled one after another', async () => {
    const { received } = await openClient('/1', '/2')
    expect(handled.map(({ path }) => path)).toEqual(['/1'])
    handled[0].response.end('first')
    await until(() => handled.length === 2)
    handled[1].response.end('second')
    await until(() => /first[^]*second/.test(received()))
    await until(() => clients.unfinishedRequests().length === 0)
  })

  // Guards against endpoints working for a disconnected client, and against a stop that waits for its requests until the grace period ends.
  it('end when the client disconnects', async () => {
    const { socket } = await openClient('/1', '/2', '/3')
    socket.destroy()
    await until(() => clients.unfinishedRequests().length === 0)
    expect(handled.map(({ path }) => path)).toEqual(['/1'])
  })

  // Guards against requests that are cut because too many more come behind them.
  it.each([['while the server serves', false], ['while the server finishes', true]])('are answered, as far as they were taken, if more of them come than may wait: %s', async (_name, finishes) => {
    const { socket, received, closed } = await openClient('/first')
    if (finishes) await clients.finish()
    onHandled = (path, response) => { response.end(path) }
    socket.write(Array.from({ length: 2 * MAX_WAITING_REQUESTS }, (_, index) => `GET /${index} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''))
    await until(() => dropped.length > 0)
    handled[0].response.end('/first')
    await until(closed)
    expect(received().match(/HTTP\/1\.1 200 /g)).toHaveLength(1 + MAX_WAITING_REQUESTS)
    expect(received().endsWith(`/${MAX_WAITING_REQUESTS - 1}`)).toBe(true)
    expect(dropped).toHaveLength(MAX_WAITING_REQUESTS)
  })

  it('have their connection closed when the second response is cut', async () => {
    onHandled = (path, response) => {
      if (path === '/1') return
      response.write('half of the second')
      abortResponse(response)
    }
    const { received, closed } = await openClient('/1', '/2')
    handled[0].response.end('first')
    await until(closed)
    expect(received()).toContain('first')
    expect(received()).not.toMatch(/second\r\n0\r\n/)
  })

  it('are not handled after a response that closes the connection', async () => {
    const { closed } = await openClient('/1', '/2')
    handled[0].response.setHeader('Connection', 'close')
    handled[0].response.end('first')
    await until(closed)
    await until(() => clients.unfinishedRequests().length === 0)
    expect(handled.map(({ path }) => path)).toEqual(['/1'])
  })

  // Guards against a request that never gets a response because Node.js itself responded to the request before it.
  it('are handled after a request with an unsupported expectation', async () => {
    const socket = connect((clients.server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nExpect: other\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n')
    await until(() => clients.unfinishedRequests().length === 2)
    handled[0].response.end('first')
    await until(() => handled.length === 2)
    expect(handled[1].path).toBe('/3')
    socket.destroy()
    await until(() => clients.unfinishedRequests().length === 0)
  })

  // Guards against sending an endpoint a request of a client that has half-closed its connection.
  it('are not handled after the client has half-closed the connection', async () => {
    const { socket, closed } = await openClient('/1', '/2')
    socket.pause()
    handled[0].response.end(Buffer.alloc(32 * 1024 * 1024))
    const ended = once(handled[0].response.socket as Socket, 'end')
    socket.end()
    await ended
    socket.resume()
    await until(closed)
    await until(() => clients.unfinishedRequests().length === 0)
    expect(handled.map(({ path }) => path)).toEqual(['/1'])
  })
})

describe('the reason for which the connection of an unfinished response is closed', () => {
  /** Opens a connection with one request and acts on it. @returns the reason that the server records for its response */
  async function reasonAfter (act: (socket: Socket) => void): Promise<string | undefined> {
    const { socket } = await openClient('/1')
    act(socket)
    await until(() => clients.unfinishedRequests().length === 0)
    socket.destroy()
    return cutReasonOf(handled[0].response)
  }

  it.each<[string, (socket: Socket) => void, string | undefined]>([
    ['bytes that are not a request', socket => socket.write('no request\r\n\r\n'), 'HPE_INVALID_METHOD'],
    ['a close of the server', () => clients.close(), 'gateway_closed'],
    ['a client that closes the connection', socket => socket.end(), undefined],
    ['a client that resets the connection', socket => socket.resetAndDestroy(), undefined]
  ])('is known after %s', async (_name, act, reason) => {
    expect(await reasonAfter(act)).toBe(reason)
  })
})

describe('a head that stays incomplete for longer than the header timeout', () => {
  const HEADER_TIMEOUT_MS = 100

  /** Exceeds the interval at which Node.js checks for such heads. */
  const CHECKED_MS = 1000

  beforeEach(() => clients.applyLimits({ maxHeaderBytes: 16384, maxBodyBytes: 1000, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: 15_000 }))

  // Guards against a response that is cut although its own request had come whole.
  it('does not end the response before it, but its connection after that', async () => {
    const { socket, received, closed } = await openClient('/1')
    handled[0].response.write('first half, ')
    socket.write('GET /2 HTTP/1.1\r\nHo')
    await new Promise(resolve => setTimeout(resolve, CHECKED_MS))
    handled[0].response.end('second half')
    await until(closed)
    expect(received()).toMatch(/first half, [^]*second half\r\n0\r\n\r\n$/)
    expect(handled.map(({ path }) => path)).toEqual(['/1'])
  })

  it('is answered with 408 if nothing is before it', async () => {
    const { socket, received, closed } = await openClient()
    socket.write('GET /2 HTTP/1.1\r\nHo')
    await new Promise(resolve => setTimeout(resolve, CHECKED_MS))
    await until(closed)
    expect(received()).toMatch(/^HTTP\/1.1 408/)
  })

  // Guards against requests that run although their client was told that they never will.
  it('is not handled if it is completed after the 408', async () => {
    const socket = connect({ port: (clients.server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
    let text = ''
    socket.on('data', data => { text += String(data) })
    socket.write('GET /2 HTTP/1.1\r\nHo')
    await until(() => text.includes('408'))
    socket.write('st: h\r\n\r\n')
    const closed = once(socket, 'close')
    socket.end()
    await closed
    expect([handled.map(({ path }) => path), dropped]).toEqual([[], ['/2']])
  })
})

describe('a flood of new connections', () => {
  // Guards against a gateway that reads the requests of most clients of a zone and answers them late.
  it('is closed with the requests unread while the process is late', async () => {
    const clock = createFakeClock()
    const maxLatenessMs = 200
    let requestCount = 0
    const metrics = createServingMetrics()
    const flooded = createClientServer({
      ...AMPLE_LIMITS,
      log: SILENT_LOGGER as EventLog,
      clock,
      metrics,
      maxLatenessMs: () => maxLatenessMs,
      onRequest: (_request, response) => {
        requestCount++
        response.end()
      }
    })
    await new Promise<void>(resolve => flooded.server.listen(0, '127.0.0.1', resolve))
    const { port } = flooded.server.address() as AddressInfo
    const request = async (): Promise<boolean> => await fetch(`http://127.0.0.1:${port}/`, { headers: { connection: 'close' } }).then(response => response.ok, () => false)
    clock.advance(USUAL_SECONDS * 1000)
    await request()
    clock.stall(2 * maxLatenessMs)
    clock.advance(0)
    const served = await Promise.all(Array.from({ length: 30 }, request))
    flooded.close()
    const limit = EXCESS_FACTOR * MIN_USUAL_PER_SECOND
    expect(served.filter(Boolean)).toHaveLength(limit - 1)
    expect(requestCount).toBe(limit)
    expect((await metrics.connectionsClosedUnread.get()).values[0].value).toBe(30 - limit + 1)
  })
})
