import { once } from 'node:events'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { AMPLE_LIMITS } from '../__fixtures__/ampleLimits'
import type { EventLog } from '../../telemetry/events'
import { createServingMetrics } from '../../telemetry/metrics'
import { type ClientServer, type ClientServerOptions, createClientServer } from '../clientServer'
import { LINGER_MS } from '../lingeringClose'

/** Exceeds what the kernel buffers for a connection whose client does not read. */
const LARGE_BYTES = 16 * 1024 * 1024

let clients: ClientServer
let clock: FakeClock
const sockets: Socket[] = []

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy())
  clients.close()
})

async function start (onRequest: ClientServerOptions['onRequest']): Promise<void> {
  clock = createFakeClock()
  clients = createClientServer({ ...AMPLE_LIMITS, log: SILENT_LOGGER as EventLog, clock, metrics: createServingMetrics(), maxLatenessMs: () => Infinity, onRequest })
  await new Promise<void>(resolve => clients.server.listen(0, '127.0.0.1', resolve))
}

function open (allowHalfOpen = false): { socket: Socket, receivedBytes: () => number, closed: Promise<void> } {
  const socket = connect({ port: (clients.server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen })
  sockets.push(socket)
  let bytes = 0
  socket.on('data', data => { bytes += data.length })
  socket.on('error', () => {})
  return { socket, receivedBytes: () => bytes, closed: new Promise(resolve => socket.on('close', () => resolve())) }
}

describe('a server that finishes', () => {
  // Guards against complete responses that are cut because their client reads slowly.
  it('sends the rest of a response that has been ended but not flushed', async () => {
    let ended = (): void => {}
    const isEnded = new Promise<void>(resolve => { ended = resolve })
    await start((_request, response) => {
      response.writeHead(200, { 'Content-Length': LARGE_BYTES })
      response.end(Buffer.alloc(LARGE_BYTES))
      ended()
    })
    const { socket, receivedBytes, closed } = open()
    socket.pause()
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    await isEnded
    await clients.finish()
    socket.resume()
    await closed
    expect(receivedBytes()).toBeGreaterThan(LARGE_BYTES)
    expect(clients.unfinishedRequests()).toEqual([])
  })
})

describe('a server that finishes late', () => {
  const NEW_CONNECTIONS = 20

  /** Sends a request on each of its connections in a thread of its own; all but one are opened only after the first message. */
  const CLIENT = `
    const { connect } = require('node:net')
    const { parentPort, workerData: { port, shared, newConnections } } = require('node:worker_threads')
    const sent = new Int32Array(shared)
    const open = name => {
      const socket = connect(port, '127.0.0.1')
      let received = ''
      socket.on('data', data => { received += data })
      socket.on('error', () => {})
      socket.on('close', () => parentPort.postMessage({ name, received }))
      return socket
    }
    const send = socket => socket.write('GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n', () => {
      Atomics.add(sent, 0, 1)
      Atomics.notify(sent, 0)
    })
    const kept = open('kept')
    kept.on('connect', () => parentPort.postMessage({ name: 'connected' }))
    parentPort.once('message', () => {
      send(kept)
      for (let index = 0; index < newConnections; index++) {
        const opened = open('opened ' + index)
        opened.on('connect', () => send(opened))
      }
    })
  `

  // Guards against a drain that closes connections whose requests have come while its process was busy, and then drops them.
  it('handles the requests that have come before', async () => {
    await start((_request, response) => { response.end('whole') })
    const shared = new SharedArrayBuffer(4)
    const sent = new Int32Array(shared)
    const worker = new Worker(CLIENT, { eval: true, workerData: { port: (clients.server.address() as AddressInfo).port, shared, newConnections: NEW_CONNECTIONS } })
    const accepted = once(clients.server, 'connection')
    const results = new Map<string, string>()
    const isDone = new Promise<void>(resolve => {
      worker.on('message', ({ name, received }: { name: string, received: string }) => {
        if (name !== 'connected') results.set(name, received)
        if (results.size === NEW_CONNECTIONS + 1) resolve()
      })
    })
    await once(worker, 'message')
    await accepted
    worker.postMessage('send')
    for (let count = 0; count <= NEW_CONNECTIONS; count = Atomics.load(sent, 0)) Atomics.wait(sent, 0, count, 10_000)
    await clients.finish()
    await isDone
    await worker.terminate()
    expect([...results].filter(([, received]) => !received.endsWith('whole'))).toEqual([])
  })
})

describe('a response to a request whose body is still being sent', () => {
  const CHUNK = '400\r\n' + 'x'.repeat(1024) + '\r\n'

  beforeEach(async () => {
    await start((_request, response) => {
      response.writeHead(503, { Connection: 'close', 'Content-Length': 2 })
      response.end('no')
    })
  })

  // Guards against refusals that are lost in a reset while the client still sends.
  it('reaches a client that reads it only after it has sent everything', async () => {
    const { socket, receivedBytes, closed } = open()
    socket.pause()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
    for (let part = 0; part < 20; part++) {
      socket.write(CHUNK)
      await new Promise(resolve => setTimeout(resolve, 5))
    }
    socket.write('0\r\n\r\n')
    socket.resume()
    await closed
    expect(receivedBytes()).toBeGreaterThan('HTTP/1.1 503'.length)
  })

  // Guards against requests that run although their response has no connection any more.
  it('is the last one on its connection', async () => {
    const handled: string[] = []
    clients.close()
    await start(({ url = '' }, response) => {
      handled.push(url)
      response.writeHead(503, { Connection: 'close', 'Content-Length': 2 })
      response.end('no')
    })
    const { socket, closed } = open()
    socket.write('POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
    await new Promise<void>(resolve => socket.once('data', () => resolve()))
    socket.write('0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n')
    await closed
    expect(handled).toEqual(['/1'])
  })

  it('is followed by the close of the connection, also if the client goes on sending', async () => {
    const { socket, closed } = open()
    socket.write('POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
    await new Promise<void>(resolve => socket.once('data', () => resolve()))
    expect(clients.isSettled()).toBe(false)
    clock.advance(LINGER_MS)
    await closed
    expect(clients.isSettled()).toBe(true)
  })
})

describe('a response to bytes that are no request', () => {
  // Guards against connections that clients keep open without end.
  it('is followed by the close of the connection, also if the client goes on sending', async () => {
    await start(() => {})
    const { socket, closed } = open(true)
    socket.write('no request\r\n\r\n')
    await new Promise<void>(resolve => socket.once('data', () => resolve()))
    expect(clients.isSettled()).toBe(false)
    const sending = setInterval(() => socket.write('more'), 5)
    clock.advance(LINGER_MS)
    await closed
    clearInterval(sending)
    expect(clients.isSettled()).toBe(true)
  })
})
