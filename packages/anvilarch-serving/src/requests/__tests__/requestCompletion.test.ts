import type { ServerResponse } from 'node:http'
import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { createDrainState, type OwnedDrainState } from '../../drain/drainState'
import type { EventLog } from '../../telemetry/events'
import { createLogRateLimiter } from '../../telemetry/logRateLimiter'
import { createServingMetrics } from '../../telemetry/metrics'
import { createTrafficCounters, type TrafficCounters } from '../../telemetry/trafficCounters'
import { createLoggedLines, REQUEST_ID, START_ID } from '../__fixtures__/loggedLines'
import type { ClientRequest, ForwardParts, RequestState } from '../forwardTypes'
import { createRequestCompletion, type RequestCompletion } from '../requestCompletion'

let ended: boolean
let destroyed: boolean
let clock: FakeClock
let drainState: OwnedDrainState
let traffic: TrafficCounters

/** @returns the completion of a stream whose head has been sent to the client */
function completionOfStartedStream (log: EventLog = SILENT_LOGGER as EventLog): RequestCompletion {
  ended = false
  destroyed = false
  clock = createFakeClock()
  drainState = createDrainState(clock)
  traffic = createTrafficCounters()
  const response = {
    useChunkedEncodingByDefault: true,
    writeHead: () => { throw new Error('the head has been sent') },
    end: () => { ended = true },
    destroy: () => { destroyed = true }
  }
  const parts = { clock, log, metrics: createServingMetrics(), traffic, logRateLimiter: createLogRateLimiter(clock, 20), drainState }
  const client = { response: response as unknown as ServerResponse, route: { name: 'r-pes2etv', kind: 'stream' }, metadata: { requestId: REQUEST_ID }, caller: { caller: 'unchecked' }, arrivedAtMs: clock.nowMs() }
  const state = { responseStarted: true, ranAt: new Set<string>(), longestGapMs: 0, requestLog: { note: () => {}, flush: () => {} } }
  return createRequestCompletion(parts as unknown as ForwardParts, client as unknown as ClientRequest, state as unknown as RequestState, () => {})
}

describe('the end of a response whose head has been sent to the client', () => {
  // Guards against a response that looks complete before its last event, or that stays open.
  it.each<[string, (end: RequestCompletion) => void]>([
    ['a response of the gateway', end => end.respond({ status: 503, code: 'no_endpoint', message: '' })],
    ['a buffered response of an endpoint', end => end.respondFromEndpoint('e1', { status: 200, rawHeaders: [], body: Buffer.alloc(0) })],
    ['an abort', end => end.abortConnection('timeout')]
  ])('is a closed connection if the cause is %s', (_name, act) => {
    act(completionOfStartedStream())
    expect({ ended, destroyed }).toEqual({ ended: false, destroyed: true })
  })

  // Guards against counts in which a response that was cut looks like one that reports a failure.
  it('counts as cut, and not as failed', () => {
    completionOfStartedStream().abortConnection('timeout')
    expect(traffic.readAndReset()).toMatchObject({ cut: 1, failed: 0, answered: 0 })
  })

  it('is complete after the last event, even if an abort follows', () => {
    const end = completionOfStartedStream()
    end.completeStream('e1')
    end.abortConnection('timeout')
    expect({ ended, destroyed }).toEqual({ ended: true, destroyed: false })
  })
})

describe('the kept part of the line of a request that has ended', () => {
  it('has the outcome, the time and the reason', () => {
    const { log, kept } = createLoggedLines()
    const end = completionOfStartedStream(log)
    clock.advance(1_234)
    end.abortConnection('silent')
    for (const text of [REQUEST_ID, '"outcome":"broken_off"', '"elapsedMs":1234', '"reason":"silent"']) expect(kept()[0]).toContain(text)
    expect(kept()[0]).not.toContain('drainMs')
  })

  it('has the times since its head and since the stop signal of a gateway that drains', () => {
    const { log, kept } = createLoggedLines()
    const end = completionOfStartedStream(log)
    clock.advance(1_000)
    drainState.start(8_000)
    clock.advance(7_300)
    end.abortConnection('interrupted')
    for (const text of [REQUEST_ID, '"outcome":"broken_off"', '"drainMs":7300', '"elapsedMs":8300']) expect(kept()[0]).toContain(text)
  })

  it('has the status of an endpoint', () => {
    const { log, kept } = createLoggedLines()
    const end = completionOfStartedStream(log)
    end.completeStream(START_ID)
    expect(kept()[0]).toContain('"status":200')
  })
})
