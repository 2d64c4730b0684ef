/** Ends a request after its last attempt, and records how its attempts have ended at their endpoints. */
import type { Endpoint } from '../model/types'
import type { GatewayResponse } from './clientResponse'
import { type ClientRequest, type ForwardParts, requestIdentityOf, type RequestState } from './forwardTypes'
import type { RequestCompletion } from './requestCompletion'
import type { AttemptFailure, NextStep } from './retryDecision'
import { isBrokenConnection, isConnectionRefused, isTransientFailure } from './runAttempt'

/** Steps that end a request. */
export type FinalStep = Exclude<NextStep, 'send_again' | 'wait' | 'complete'>

/** Retry-After for requests that no endpoint has run: slots become free within a few hundred milliseconds. */
const REFUSED_RETRY_AFTER_MS = 300

/** Retry-After if there is no endpoint: a replacement is listed after about one heartbeat. */
const NO_ENDPOINT_RETRY_AFTER_MS = 800

/** Response to a request of a service without endpoints. */
export const NO_ENDPOINT_RESPONSE: GatewayResponse = {
  status: 503,
  code: 'no_endpoint',
  message: 'no endpoint of the service is known',
  retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS
}

/**
 * @param end - ends the request
 * @param timeoutMs - time limit of the request
 * @returns the final steps, each of which takes the reason of the last attempt
 */
export function createFinalSteps (end: RequestCompletion, timeoutMs: number): Record<FinalStep, (reason: string) => void> {
  return {
    refuse: reason => end.respond({ status: 503, code: 'not_run', message: `no endpoint took the request (${reason})`, retryAfterMs: REFUSED_RETRY_AFTER_MS }),
    fail: reason => end.respond({ status: 502, code: 'endpoint_failed', message: `the endpoint gave no whole answer (${reason})` }),
    time_out: reason => end.respond({ status: 504, code: 'timeout', message: `no whole answer within ${timeoutMs} ms (${reason})` }),
    break_off: reason => end.abortConnection(reason)
  }
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
  if (state.service !== undefined && state.firstEventAtMs !== undefined) parts.holdTimes.onCompleted(state.service, parts.clock.nowMs() - state.firstEventAtMs)
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
