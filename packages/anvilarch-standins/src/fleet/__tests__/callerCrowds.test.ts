/**
 * Guards against callers that end a gateway, make it hang, or make it use more than its settings allow. Each test starts a fleet with one
 * gateway. It checks the process, its memory and sockets as the system reports them, and one ordinary request beside and after the crowd.
 */
import { mkdirSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { request } from 'node:http'
import { join } from 'node:path'
import { createSystemClock, sleep } from 'anvilarch-utils'
import { type Crowd, type CrowdOptions, type CrowdTarget, openCrowd, type ProcessUsage, tinyChunks, type UsageWatch, watchUsage } from '../../crowds'
import { applyDocument } from '../applyDocument'
import { WORKSPACE_ROOT } from '../fleetPlan'
import { startFleet } from '../startFleet'
import type { Fleet } from '../types'

const clock = createSystemClock()

const DOCUMENT = join(WORKSPACE_ROOT, 'examples/demo.jsonc')

const MEBIBYTE = 1024 * 1024

/** The largest body of the document. */
const MAX_BODY_BYTES = 4 * MEBIBYTE
const SMALL_BODY_BYTES = 600

/** What the gateway may use at most, as its settings say. */
const MEMORY_BYTES = 256 * MEBIBYTE
const MANY_DESCRIPTORS = 2000
const FEW_DESCRIPTORS = 400

const HEADER_TIMEOUT_MS = 2000
const IDLE_TIMEOUT_MS = 2000

/** Longest time for which a crowd sends before the ordinary request beside it. */
const CROWD_MS = 8000

const POLL_MS = 50
const START_TIMEOUT_MS = 60_000
const TEST_TIMEOUT_MS = 120_000

/** Connections that are to be closed. The gateway's own connections are far fewer than half of them. */
const CONNECTIONS = 50

const ORDERS = '/services/lookup/orders'

let fleet: Fleet
let directory: string
let bounds: ProcessUsage
let usage: UsageWatch | undefined
let crowd: Crowd | undefined

async function start (maxDescriptors: number): Promise<void> {
  mkdirSync(join(WORKSPACE_ROOT, 'target'), { recursive: true })
  directory = mkdtempSync(join(WORKSPACE_ROOT, 'target/crowd-'))
  bounds = { memoryBytes: MEMORY_BYTES, sockets: maxDescriptors }
  fleet = await startFleet({ directory, gateways: 1, modelEndpoints: 1, plainEndpoints: 1, endpointsPerAgent: 2, startTimeoutMs: START_TIMEOUT_MS, gatewaySettings: { memoryBytes: MEMORY_BYTES, maxDescriptors, headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: IDLE_TIMEOUT_MS } })
  await applyDocument(fleet.callerUrls()[0], DOCUMENT, readFileSync(DOCUMENT, 'utf8'))
  await fleet.waitReady()
  await sendUntilServed()
  usage = watchUsage(fleet.get('gateway-1').processId as number, portOfCallers())
}

function portOfCallers (): number {
  return Number(new URL(fleet.callerUrls()[0]).port)
}

afterEach(async () => {
  usage?.stop()
  crowd?.close()
  crowd = undefined
  await fleet.stop()
  rmSync(directory, { recursive: true })
}, START_TIMEOUT_MS)

/** Sends a request of an ordinary caller on a new connection. @returns its status; undefined if the connection failed */
async function send ({ bodyBytes = SMALL_BODY_BYTES, chunks }: { bodyBytes?: number, chunks?: Iterable<Buffer> } = {}): Promise<number | undefined> {
  return await new Promise(resolve => {
    const framing = chunks === undefined ? { 'content-length': bodyBytes } : { 'transfer-encoding': 'chunked' }
    const sent = request(`${fleet.callerUrls()[0]}${ORDERS}`, { method: 'POST', agent: false, headers: { 'content-type': 'application/octet-stream', ...framing } }, response => {
      response.resume()
      response.on('close', () => resolve(response.complete ? response.statusCode : undefined))
    })
    sent.on('error', () => resolve(undefined))
    if (chunks === undefined) sent.end(Buffer.alloc(bodyBytes, 'x'))
    else {
      sent.flushHeaders()
      sent.once('socket', socket => {
        socket.once('connect', () => { writeAll(socket, chunks).catch(() => resolve(undefined)) })
      })
    }
  })
}

async function writeAll (socket: NodeJS.WritableStream, blocks: Iterable<Buffer>): Promise<void> {
  for (const block of blocks) await new Promise<void>((resolve, reject) => { socket.write(block, error => { if (error == null) resolve(); else reject(error) }) })
}

/** Sends requests as an ordinary caller that is told to come again, until one is served or the process has ended. */
async function sendUntilServed (): Promise<number | undefined> {
  for (;;) {
    const status = await send()
    if (status === 200 || fleet.get('gateway-1').processId === undefined) return status
    await sleep(clock, POLL_MS)
  }
}

function expectWithinBounds (): void {
  const { processId, starts, lastExit } = fleet.get('gateway-1')
  expect({ isRunning: processId !== undefined, starts, lastExit }).toMatchObject({ isRunning: true, starts: 1 })
  const { memoryBytes, sockets } = (usage as UsageWatch).peak()
  if (process.env.CROWD_TRACE !== undefined) process.stderr.write(`${expect.getState().currentTestName ?? ''}: ${Math.round(memoryBytes / 1e6)} MB, ${sockets} sockets\n`)
  expect(memoryBytes).toBeLessThan(bounds.memoryBytes)
  expect(sockets).toBeLessThanOrEqual(bounds.sockets)
}

function target (): CrowdTarget {
  return {
    ip: '127.0.0.1',
    port: portOfCallers(),
    postHead: `POST ${ORDERS} HTTP/1.1\r\nHost: x\r\nContent-Type: application/octet-stream`,
    getRequest: 'GET /services/lookup/names/a HTTP/1.1\r\nHost: x\r\n\r\n'
  }
}

async function withstand (size: Omit<CrowdOptions, 'target'>): Promise<void> {
  crowd = openCrowd({ ...size, target: target() })
  const untilMs = clock.nowMs() + CROWD_MS
  while (crowd.settledCount() < size.clients && clock.nowMs() < untilMs && fleet.get('gateway-1').processId !== undefined) await sleep(clock, POLL_MS)
  expectWithinBounds()
  const beside = await sendUntilServed()
  crowd.close()
  const after = await sendUntilServed()
  expectWithinBounds()
  expect([beside, after]).toEqual([200, 200])
}

/** @returns blocks of a whole body in chunks of one byte */
function * wholeBody (bytes: number): Generator<Buffer> {
  const blockChunks = 4096
  const block = tinyChunks(blockChunks)
  for (let left = bytes; left > 0; left -= blockChunks) yield left < blockChunks ? tinyChunks(left) : block
  yield Buffer.from('0\r\n\r\n')
}

describe('a single request of a caller', () => {
  beforeEach(async () => { await start(MANY_DESCRIPTORS) }, START_TIMEOUT_MS)

  // Guards against an object for each chunk of a body.
  it('is served with the largest body in chunks of one byte', async () => {
    const status = await send({ chunks: wholeBody(MAX_BODY_BYTES) })
    expectWithinBounds()
    expect(status).toBe(200)
  }, TEST_TIMEOUT_MS)

  // Guards against limits that refuse what the document allows.
  it('is served with the largest body at once', async () => {
    const status = await send({ bodyBytes: MAX_BODY_BYTES })
    expectWithinBounds()
    expect(status).toBe(200)
  }, TEST_TIMEOUT_MS)
})

describe('a gateway within the memory of its settings', () => {
  beforeEach(async () => { await start(MANY_DESCRIPTORS) }, START_TIMEOUT_MS)

  // Guards against bodies that are kept without a common limit.
  it.each(['stated_bodies', 'gradual_bodies', 'chunked_bodies'] as const)('withstands large bodies that stop short of their end: %s', async form => {
    await withstand({ form, clients: 100, bytesPerClient: MAX_BODY_BYTES })
  }, TEST_TIMEOUT_MS)

  // Guards against an object for each chunk of a body.
  it('withstands bodies in chunks of one byte that stop short of their end', async () => {
    await withstand({ form: 'tiny_chunks', clients: 20, bytesPerClient: 400_000 })
  }, TEST_TIMEOUT_MS)

  it.each(['chunk_extensions', 'trailers'] as const)('withstands bodies with bytes without end that are no data: %s', async form => {
    await withstand({ form, clients: 100 })
  }, TEST_TIMEOUT_MS)

  // Guards against requests that wait behind others on their connection without a limit.
  it('withstands pipelines of requests whose responses are not read', async () => {
    await withstand({ form: 'pipelines', clients: 40, requestsPerClient: 2000 })
  }, TEST_TIMEOUT_MS)

  it.each(['unfinished_heads', 'endless_heads'] as const)('withstands heads far above the limit: %s', async form => {
    await withstand({ form, clients: 800, bytesPerClient: 240_000 })
  }, TEST_TIMEOUT_MS)
})

describe('a gateway within the descriptors of its settings', () => {
  beforeEach(async () => { await start(FEW_DESCRIPTORS) }, START_TIMEOUT_MS)

  // Guards against connections that leave no descriptors for agents, the platform and ordinary callers.
  it.each(['silent_connections', 'slow_heads'] as const)('withstands connections without a request: %s', async form => {
    await withstand({ form, clients: 800 })
  }, TEST_TIMEOUT_MS)
})

describe('connections without a request', () => {
  beforeEach(async () => { await start(MANY_DESCRIPTORS) }, START_TIMEOUT_MS)

  // Guards against empty lines that restart the idle timeout, and heads that never end.
  it.each(['empty_lines', 'empty_lines_after_response', 'slow_heads'] as const)('are closed: %s', async form => {
    const watch = usage as UsageWatch
    const calm = watch.now().sockets
    crowd = openCrowd({ form, clients: CONNECTIONS, target: target() })
    while (watch.now().sockets < calm + CONNECTIONS / 2) await sleep(clock, POLL_MS)
    while (watch.now().sockets >= calm + CONNECTIONS / 2) await sleep(clock, POLL_MS)
    await withstand({ form, clients: CONNECTIONS })
  }, TEST_TIMEOUT_MS)
})
