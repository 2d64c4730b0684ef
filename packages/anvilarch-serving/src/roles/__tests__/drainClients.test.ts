import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { type AddressInfo, connect, createServer, type Socket } from 'node:net'
import * as fc from 'fast-check'
import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { AMPLE_LIMITS } from '../__fixtures__/ampleLimits'
import { drainSchedule, STOP_MARGIN_MS } from '../../drain/drainSchedule'
import type { EventLog } from '../../telemetry/events'
import { createServingMetrics } from '../../telemetry/metrics'
import { type ClientServer, createClientServer } from '../clientServer'
import { drainClients } from '../drainClients'

const GRACE_MS = 8000

/** Longer than the time for which a drain accepts requests, and shorter than the grace period. */
const LATE_MS = 4000

/** A request of this length that is sent while the drain still accepts requests ends within the grace period. */
const MAX_WORK_MS = 4500

interface Gateway {
  clients: ClientServer
  clock: FakeClock
  /** Requests by path, in the order in which they were handled. */
  handled: Map<string, ServerResponse>
}

interface KeptConnection {
  socket: Socket
  received: () => string
  isClosed: () => boolean
}

async function startGateway (): Promise<Gateway> {
  const clock = createFakeClock()
  const handled = new Map<string, ServerResponse>()
  const onRequest = ({ url = '' }: IncomingMessage, response: ServerResponse): void => { handled.set(url, response) }
  const clients = createClientServer({ ...AMPLE_LIMITS, log: SILENT_LOGGER as EventLog, clock, metrics: createServingMetrics(), maxLatenessMs: () => Infinity, onRequest })
  await new Promise<void>(resolve => clients.server.listen(0, '127.0.0.1', resolve))
  return { clients, clock, handled }
}

async function until (condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 400; tries++) {
    if (condition()) return
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  throw new Error('condition not met within 2 s')
}

function openConnection ({ clients }: Gateway): KeptConnection {
  const socket = connect((clients.server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  let closed = false
  socket.on('data', data => { text += String(data) })
  socket.on('close', () => { closed = true })
  socket.on('error', () => {})
  return { socket, received: () => text, isClosed: () => closed }
}

async function send ({ handled }: Gateway, { socket }: KeptConnection, path: string): Promise<ServerResponse> {
  socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`)
  await until(() => handled.has(path))
  const response = handled.get(path) as ServerResponse
  response.flushHeaders()
  return response
}

function startDrain ({ clients, clock }: Gateway, endRequests = (): void => {}): { isDone: () => boolean } {
  let done = false
  drainClients({ clients, clock, log: SILENT_LOGGER as EventLog, schedule: drainSchedule(clock.nowMs(), GRACE_MS), endRequests }).then(() => { done = true }, () => {})
  return { isDone: () => done }
}

/** Turns of the event loop in which a drain stops listening, closes idle connections and reads what has come. */
const FINISH_TURNS = 10

async function advance ({ clock }: Gateway, ms: number): Promise<void> {
  clock.advance(ms)
  for (let turn = 0; turn < FINISH_TURNS; turn++) await new Promise(resolve => setImmediate(resolve))
}

describe('a drain', () => {
  let gateway: Gateway

  beforeEach(async () => { gateway = await startGateway() })

  afterEach(() => { gateway.clients.close() })

  // Guards against requests that are taken late on kept connections and cut at the end of the grace period.
  it('closes a connection after the response that was in progress and leaves its next request unread', async () => {
    const kept = openConnection(gateway)
    const other = openConnection(gateway)
    const first = await send(gateway, kept, '/first')
    await send(gateway, other, '/other')
    startDrain(gateway)
    await advance(gateway, LATE_MS)
    first.end('whole')
    await until(() => kept.received().includes('whole'))
    kept.socket.write('GET /second HTTP/1.1\r\nHost: h\r\n\r\n')
    await until(kept.isClosed)
    expect(kept.received()).toMatch(/keep-alive[^]*whole\r\n0\r\n\r\n$/i)
    expect([...gateway.handled.keys()]).toEqual(['/first', '/other'])
    expect(other.isClosed()).toBe(false)
  })

  it('answers pipelined requests before it closes their connection', async () => {
    const kept = openConnection(gateway)
    const first = await send(gateway, kept, '/first')
    kept.socket.write('GET /second HTTP/1.1\r\nHost: h\r\n\r\n')
    await until(() => gateway.clients.unfinishedRequests().length === 2)
    startDrain(gateway)
    await advance(gateway, LATE_MS)
    first.end('1')
    await until(() => gateway.handled.has('/second'))
    gateway.handled.get('/second')?.end('second response')
    await until(kept.isClosed)
    expect(kept.received()).toContain('second response')
  })

  it('closes a connection on which no request has come', async () => {
    const unused = openConnection(gateway)
    const busy = openConnection(gateway)
    await send(gateway, busy, '/first')
    startDrain(gateway)
    await advance(gateway, LATE_MS)
    await until(unused.isClosed)
  })

  // Guards against cutting responses whose last bytes have come and are not read yet when the drain of a late process ends.
  it('reads what endpoints have sent before it ends the requests in progress', async () => {
    const endpoint = createServer()
    await new Promise<void>(resolve => endpoint.listen(0, '127.0.0.1', resolve))
    const upstream = connect((endpoint.address() as AddressInfo).port, '127.0.0.1')
    const [socket] = await once(endpoint, 'connection') as [Socket]
    const kept = openConnection(gateway)
    const response = await send(gateway, kept, '/first')
    upstream.on('data', () => response.end('whole'))
    const endedEarly: boolean[] = []
    startDrain(gateway, () => { endedEarly.push(!response.writableEnded) })
    await advance(gateway, LATE_MS)
    socket.write('the last bytes')
    gateway.clock.advance(GRACE_MS)
    await until(() => endedEarly.length > 0)
    upstream.destroy()
    endpoint.close()
    expect(endedEarly).toEqual([false])
  })

  it('ends every request that it takes with a complete response, whenever responses end and connections are used again', async () => {
    const plan = fc.array(fc.record({ sentAtMs: fc.nat(6000), workMs: fc.nat(MAX_WORK_MS), pauseMs: fc.nat(1000) }), { minLength: 1, maxLength: 6 })
    await fc.assert(fc.asyncProperty(plan, async connections => {
      const other = await startGateway()
      const opened = connections.map(timing => ({ ...timing, connection: openConnection(other), nextAtMs: timing.sentAtMs, endsAtMs: Infinity, count: 0 }))
      const drainAtMs = 3000
      let drain = { isDone: () => false }
      for (let nowMs = 0; nowMs <= drainAtMs + GRACE_MS && !drain.isDone(); nowMs += 100) {
        if (nowMs === drainAtMs) drain = startDrain(other)
        for (const [index, entry] of opened.entries()) {
          const path = `/${index}/${entry.count}`
          if (nowMs >= entry.endsAtMs) {
            other.handled.get(path)?.end('whole')
            Object.assign(entry, { nextAtMs: nowMs + entry.pauseMs, endsAtMs: Infinity, count: entry.count + 1 })
            await until(() => entry.connection.received().split('whole').length > entry.count)
          } else if (nowMs >= entry.nextAtMs && !entry.connection.isClosed()) {
            entry.connection.socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`)
            await until(() => other.handled.has(path) || entry.connection.isClosed())
            other.handled.get(path)?.flushHeaders()
            Object.assign(entry, { nextAtMs: Infinity, endsAtMs: other.handled.has(path) ? nowMs + entry.workMs : Infinity })
          }
        }
        await advance(other, 100)
      }
      const cut = opened.filter(entry => entry.endsAtMs !== Infinity)
      other.clients.close()
      expect(cut.map(({ count }) => count)).toEqual([])
    }), { numRuns: 25, seed: 5 })
  })
})

// Guards against requests that end without a response because new connections keep the stop from going on.
it('ends the requests in time although connections keep coming', async () => {
  const clock = createFakeClock()
  const schedule = drainSchedule(clock.nowMs(), GRACE_MS)
  let endedAtMs: number | undefined
  let isDone = false
  const clients = {
    finish: async () => { await new Promise(() => {}) },
    unfinishedRequests: () => endedAtMs === undefined ? [{ method: 'GET', path: '/', arrivedAtMs: 0 }] : [],
    isSettled: () => true,
    readArrived: async () => {}
  } as unknown as ClientServer
  drainClients({ clients, clock, log: SILENT_LOGGER as EventLog, schedule, endRequests: () => { endedAtMs = clock.nowMs() } }).then(() => { isDone = true }, () => {})
  await clock.advanceAsync(schedule.endAtMs - clock.nowMs())
  for (let turn = 0; turn < FINISH_TURNS; turn++) await new Promise(resolve => setImmediate(resolve))
  await clock.advanceAsync(STOP_MARGIN_MS)
  expect({ endedAtMs, isDone }).toEqual({ endedAtMs: schedule.endAtMs, isDone: true })
})

// Guards against cutting whole responses whose last bytes a late process has not read yet.
it('reads what has come before it ends the requests', async () => {
  const clock = createFakeClock()
  const schedule = drainSchedule(clock.nowMs(), GRACE_MS)
  const order: string[] = []
  const clients = { finish: async () => {}, unfinishedRequests: () => [{ method: 'GET', path: '/', arrivedAtMs: 0 }], isSettled: () => true } as unknown as ClientServer
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('data', () => order.push('read'))
  const [peer] = await once(server, 'connection') as [Socket]
  const drained = drainClients({ clients, clock, log: SILENT_LOGGER as EventLog, schedule, endRequests: () => order.push('ended') })
  await clock.advanceAsync(schedule.endAtMs - clock.nowMs() - 1)
  peer.write('last bytes')
  await clock.advanceAsync(GRACE_MS)
  await drained
  socket.destroy()
  peer.destroy()
  server.close()
  expect(order).toEqual(['read', 'ended'])
})
