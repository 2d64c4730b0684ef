/** Ends a request after its last attempt, and records how its attempts have ended at their endpoints. */
import { INITIAL_SUSPECT_MS } from '../endpoints/loadTable'
import type { Endpoint, Route } from '../model/types'
import { returnAtTurnMs } from './callerReturn'
import type { GatewayResponse } from './clientResponse'
import { type ClientRequest, type ForwardParts, outputTokensLeft, placementCriteria, requestIdentityOf, type RequestState } from './forwardTypes'
import { retryAfterMs } from './refusedReturn'
import type { RequestCompletion } from './requestCompletion'
import type { AttemptFailure, NextStep } from './retryDecision'
import type { RunningAttempt } from './runningAttempts'
import { isBrokenConnection, isConnectionRefused, isFull, isTransientFailure } from './runAttempt'

/** Steps that end a request. */
export type FinalStep = Exclude<NextStep, 'send_again' | 'wait' | 'complete'>

const MS_PER_SECOND = 1000

/** Time until there may be an endpoint again: a replacement is listed after about one heartbeat. */
const NEXT_ENDPOINT_MS = 800

/**
 * @param parts - slots, hold times and turns
 * @param client - the request
 * @param state - progress of the request
 * @param end - ends the request
 * @returns the final steps, each of which takes the reason of the last attempt
 */
export function createFinalSteps (parts: ForwardParts, client: ClientRequest, state: RequestState, end: RequestCompletion): Record<FinalStep, (reason: string) => void> {
  const { timeoutMs } = state
  return {
    refuse: reason => end.respond({ status: 503, code: 'not_run', message: `no endpoint took the request (${reason})`, retryAfterMs: refusedReturnMs(parts, client, state, reason) }),
    fail: reason => end.respond({ status: 502, code: 'endpoint_failed', message: `the endpoint gave no whole answer (${reason})` }),
    time_out: reason => end.respond({ status: 504, code: 'timeout', message: `no whole answer within ${timeoutMs} ms (${reason})` }),
    break_off: reason => end.abortConnection(reason)
  }
}

/**
 * @param parts - clock and random numbers
 * @param state - progress of the request
 * @returns the response to a request of a service without endpoints
 */
export function noEndpointResponse ({ clock, random }: Pick<ForwardParts, 'clock' | 'random'>, state: Pick<RequestState, 'deadlineAtMs'>): GatewayResponse {
  const retryAfterMs = returnAtTurnMs(state.deadlineAtMs - clock.nowMs(), NEXT_ENDPOINT_MS, random)
  return { status: 503, code: 'no_endpoint', message: 'no endpoint of the service is known', retryAfterMs }
}

/** @returns the Retry-After of a request that no endpoint has run: the turn of its caller if they are full; otherwise failed endpoints are tried again after some time */
function refusedReturnMs (parts: ForwardParts, client: ClientRequest, state: RequestState, reason: string): number {
  const remainingMs = state.deadlineAtMs - parts.clock.nowMs()
  if (!isFull(reason) || state.service === undefined) return returnAtTurnMs(remainingMs, INITIAL_SUSPECT_MS, parts.random)
  return retryAfterMs(parts, { criteria: placementCriteria(client, state, state.service), remainingMs, roomInMs: 0 })
}

/**
 * Records that an endpoint has completed a request.
 *
 * @param parts - crashes, hold times and clock
 * @param client - the request
 * @param state - progress of the request
 * @param startId - endpoint that completed it
 */
export function recordCompletion (parts: Pick<ForwardParts, 'crashes' | 'holdTimes' | 'clock'>, client: ClientRequest, state: RequestState, startId: string): void {
  // Several endpoints may complete a stream together, although each of them crashes. A lookup is completed by one endpoint.
  const isOnlyRun = [...state.ranAt].every(ranAt => ranAt === startId)
  const isWholeRun = client.route.kind !== 'stream' || (isOnlyRun && client.metadata.lastEventId === undefined)
  if (isWholeRun) parts.crashes.onCompleted(requestIdentityOf(client))
  // The request waits in the queue until its first event and holds the slot from then on.
  if (state.service !== undefined && state.firstEventAtMs !== undefined) parts.holdTimes.onCompleted(state.service, parts.clock.nowMs() - state.firstEventAtMs, outputTokensLeft(client.metadata))
}

/**
 * Records that an attempt has failed.
 *
 * @param parts - loads and crashes
 * @param client - the request
 * @param endpoint - endpoint of the attempt
 * @param failure - whether the endpoint may have run the request
 * @param reason - reason of the failure
 * @param endedInOrder - whether an earlier connection for the request to this endpoint ended in order, so that a process that is gone may have ended with it
 */
export function recordFailure (parts: Pick<ForwardParts, 'loads' | 'crashes'>, client: ClientRequest, endpoint: Endpoint, failure: AttemptFailure, reason: string, endedInOrder: boolean): void {
  if (!isTransientFailure(reason)) parts.loads.onFailure(endpoint.startId)
  const isGone = isConnectionRefused(reason)
  if ((failure === 'may_have_run' && isBrokenConnection(reason)) || (isGone && endedInOrder)) parts.crashes.onConnectionLost(requestIdentityOf(client), endpoint)
  if (isGone) parts.crashes.onEndpointLost(endpoint.startId)
}

/**
 * Records how long an endpoint took to its first event or response.
 *
 * @param parts - clock, metrics and hold times
 * @param kind - kind of the route
 * @param entry - the attempt; further calls record nothing
 */
export function recordWait ({ clock, metrics, holdTimes }: Pick<ForwardParts, 'clock' | 'metrics' | 'holdTimes'>, kind: Route['kind'], entry: RunningAttempt): void {
  if (entry.sentAtMs === undefined) return
  const elapsedMs = clock.nowMs() - entry.sentAtMs
  metrics.endpointWaitSeconds.observe({ kind }, elapsedMs / MS_PER_SECOND)
  holdTimes.onAnswered({ service: entry.endpoint.service, kind, elapsedMs, expectedWaitMs: entry.expectedWaitMs })
  entry.sentAtMs = undefined
}

/**
 * Records an event, and the time since the one before from the same endpoint.
 *
 * @param parts - clock and hold times
 * @param entry - the attempt that it came from
 */
export function recordEvent ({ clock, holdTimes }: Pick<ForwardParts, 'clock' | 'holdTimes'>, entry: RunningAttempt): void {
  const nowMs = clock.nowMs()
  if (entry.lastEventAtMs !== undefined) holdTimes.onEventGap(entry.endpoint.service, nowMs - entry.lastEventAtMs)
  entry.lastEventAtMs = nowMs
}
