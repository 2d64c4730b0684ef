import { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { createBodyLimits, createFakeClock, createLogger, type FakeClock, sleep } from 'anvilarch-utils'
import { createDrainState, type OwnedDrainState } from '../../drain/drainState'
import { createLogRateLimiter } from '../../telemetry/logRateLimiter'
import { createServingMetrics } from '../../telemetry/metrics'
import { type ClientCall, handleClient } from '../clientCalls'

/** The drain ends this long after its start. */
const DRAIN_MS = 100
const GRACE_MS = 800

/** Longer than the drain. */
const AUTHENTICATION_MS = 200

let clock: FakeClock
let drainState: OwnedDrainState
let request: IncomingMessage
let response: ServerResponse
let lines: Array<Record<string, unknown>>

function createCall (configuration: unknown): ClientCall {
  clock = createFakeClock()
  drainState = createDrainState(clock)
  request = new IncomingMessage(new Socket())
  response = new ServerResponse(request)
  lines = []
  const log = createLogger({ level: 'info', process: 'g', write: line => lines.push(JSON.parse(line)) })
  return {
    request,
    response,
    drainState,
    bodies: createBodyLimits({ clock, limitBytes: 1_000_000 }),
    arrivedAtMs: clock.nowMs(),
    forward: { clock, log, metrics: createServingMetrics(), logRateLimiter: createLogRateLimiter(clock, 20), wire: { decodeCredential: () => undefined, decodeRequest: () => ({ requestId: 'r1' }) } },
    jobs: { isJobCall: () => false },
    configuration: { current: () => configuration },
    endpoints: { hasListing: () => configuration !== undefined },
    callers: {
      authenticate: async () => {
        await sleep(clock, AUTHENTICATION_MS)
        return { caller: 'unchecked' }
      }
    }
  } as unknown as ClientCall
}

describe('a call that is still being read when the drain ends', () => {
  // Guards against a second response to the same call, which fails and destroys the first one.
  it.each([
    ['waits for a configuration', undefined],
    ['is to be rejected', { limits: { maxHeaderBytes: 0 }, routes: [] }]
  ])('gets one response if it %s', async (_name, configuration) => {
    const handled = handleClient(createCall(configuration))
    drainState.start(GRACE_MS)
    await clock.advanceAsync(DRAIN_MS)
    drainState.end()
    await clock.advanceAsync(1000)
    await expect(handled).resolves.toBeUndefined()
    expect(response).toMatchObject({ statusCode: 503, writableEnded: true, destroyed: false })
  })
})

describe('a call that is not read whole', () => {
  const ROUTE = { name: 'r', host: 'h', pathPrefix: '/', kind: 'stream', timeoutMs: 5000 }

  /** Calls are named, since a request that ends in this way leaves no other line. */
  const unreadLines = (): unknown[] => lines.filter(({ message }) => message === 'request ended unread').map(({ requestId, reason, drainMs, elapsedMs }) => ({ requestId, reason, drainMs, elapsedMs }))

  beforeEach(() => {
    const call = createCall({ limits: { maxHeaderBytes: 1000, maxBodyBytes: 1000 }, routes: [ROUTE] })
    request.headers.host = 'h'
    request.url = '/a'
    handleClient(call).catch(() => {})
    drainState.start(GRACE_MS)
  })

  it('is logged if the drain ends', async () => {
    await clock.advanceAsync(AUTHENTICATION_MS + 50)
    drainState.end()
    expect(unreadLines()).toEqual([{ requestId: 'r1', reason: 'stopping', drainMs: 250, elapsedMs: 250 }])
  })

  it('is logged if its connection closes', async () => {
    await clock.advanceAsync(AUTHENTICATION_MS + 50)
    request.destroy()
    await clock.advanceAsync(0)
    await new Promise(resolve => setImmediate(resolve))
    expect(unreadLines()).toEqual([{ requestId: 'r1', reason: 'client_left', drainMs: 250, elapsedMs: 250 }])
  })
})
