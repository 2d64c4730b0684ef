/**
 * Decides what follows a failed attempt. Free of I/O, so that at-most-once execution, the attempt limit and the correctness of
 * "not run" responses can be tested without a network.
 */
import type { Route } from '../model/types'

/**
 * How an attempt ended without a complete response.
 * `not_run`: the endpoint reports so, or nothing was sent. `may_have_run`: anything else.
 */
export type AttemptFailure = 'not_run' | 'may_have_run'

/** Progress of a request after an attempt. */
export interface RequestProgress {
  /** Endpoints that may have run the request, the last one included, and those with an attempt in progress left out. */
  attemptsThatMayHaveRun: number
  /** Attempts that have neither ended nor been aborted. */
  attemptsInProgress: number
  /** Whether all of these have sent no event or response for the response timeout. */
  allSilent: boolean
  /** Whether the head of the response has been sent to the client. */
  responseStarted: boolean
  /** Whether there is an endpoint that has not been tried. */
  hasUntriedEndpoint: boolean
  /**
   * Whether there is an endpoint whose attempt was aborted because another one continued the response. It counts as an attempt already,
   * so that the request may go back to it.
   */
  hasAbortedEndpoint: boolean
  /** Whether the last endpoint to send an event has closed its connection in order after it, so that the stream seems complete. */
  hasUnconfirmedEnd: boolean
  /** Whether this endpoint has not been asked yet to resume the stream, which shows whether its process is still there. */
  mayAskForConfirmation: boolean
  remainingMs: number
  /** Whether this gateway may begin another send; false late in a drain. */
  mayBeginSend: boolean
}

/**
 * Next step of a request. `wait`: another attempt is still in progress, which an endpoint's silence does not end. `complete`: the stream ends as it is, since nothing
 * contradicts the end that its endpoint gave it. `refuse`: 503, the request has not run and never will. `fail`: 502, it may have run.
 * `time_out`: 504. `break_off`: close the connection, so that the response does not look complete.
 */
export type NextStep = 'send_again' | 'wait' | 'complete' | 'refuse' | 'fail' | 'time_out' | 'break_off'

/** With less remaining time than this, another send would only end in the endpoint's own timeout. */
export const MIN_REMAINING_MS = 30

/**
 * @param route - retry rules of the route
 * @param failure - how the last attempt ended
 * @param progress - progress of the request
 * @returns the next step
 */
export function nextStep (route: Pick<Route, 'kind' | 'resumable' | 'maxAttempts'>, failure: AttemptFailure, progress: RequestProgress): NextStep {
  const mayHaveRun = progress.attemptsThatMayHaveRun > 0
  const startedCount = progress.attemptsThatMayHaveRun + progress.attemptsInProgress
  const hasTimeLeft = progress.remainingMs > MIN_REMAINING_MS
  const hasAttemptLeft = startedCount < route.maxAttempts
  const retryable = startedCount === 0 || isRetryable(route)
  const maySendBeside = progress.attemptsInProgress === 0 || progress.allSilent
  const maySend = progress.mayBeginSend && hasTimeLeft && retryable
  if (maySend && progress.attemptsInProgress === 0 && progress.mayAskForConfirmation) return 'send_again'
  if (maySend && hasAttemptLeft && maySendBeside && progress.hasUntriedEndpoint) return 'send_again'
  if (progress.attemptsInProgress > 0) return 'wait'
  if (maySend && progress.hasAbortedEndpoint) return 'send_again'
  if (progress.hasUnconfirmedEnd) return 'complete'
  if (progress.responseStarted) return 'break_off'
  if (!mayHaveRun) return 'refuse'
  return hasTimeLeft ? 'fail' : 'time_out'
}

/** @returns whether a request of this route may run more than once */
export function isRetryable (route: Pick<Route, 'kind' | 'resumable'>): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)
}

/** Lower bound of timeouts of endpoints: what has come waits for as long in a gateway that is busy but keeps up. */
const MIN_RESPONSE_TIMEOUT_MS = 50

/** Times of a request that waits for the first event or the response of an endpoint. */
export interface FirstResponseTimes {
  /** Time for which the request is expected to wait for a slot there. */
  waitMs: number
  /** Time left until its client needs the response, or leaves without a first event. */
  availableMs: number
  /** Endpoints to which it may still be sent, this one included. */
  triesLeft: number
  /** Mean time that endpoints of the service take beyond the expected wait; undefined if it is not known. */
  usualRunMs: number | undefined
  /** Longest time that they have lately taken beyond the expected wait; undefined if it is not known. */
  longestRunMs: number | undefined
}

/**
 * @param times - expected wait, the time of the client and the longest recent time
 * @returns how long an endpoint may send no first event or response before the request is also sent to another one: beyond the expected
 *   wait, longer than endpoints have lately taken, and at most an equal part of the time that is left for each endpoint, unless that is
 *   less than they usually take
 */
export function firstResponseTimeoutMs ({ waitMs, availableMs, triesLeft, usualRunMs = 0, longestRunMs = Infinity }: FirstResponseTimes): number {
  const equalPartMs = Math.max(usualRunMs, (availableMs - waitMs) / triesLeft)
  return Math.max(MIN_RESPONSE_TIMEOUT_MS, waitMs + Math.min(longestRunMs, equalPartMs))
}

/** Times between the events of endpoints. */
export interface EventTimes {
  /** Time that another endpoint usually takes to the next event. */
  resumptionMs: number
  /** Longest time between two events of endpoints of the service lately; undefined if it is not known. */
  longestGapMs: number | undefined
}

/**
 * @param route - its declared longest pause, and when clients leave
 * @param times - times of the endpoints
 * @returns how long an endpoint may send no further event before its stream is resumed at another one, so that the next event comes within
 *   the declared longest pause. Where none is declared, or sound endpoints pause for longer than that leaves, a resumption would be no
 *   quicker: both endpoints have an equal part of the time after which clients leave
 */
export function eventTimeoutMs ({ gapObjectiveMs, clientEventTimeoutMs }: Pick<Route, 'gapObjectiveMs' | 'clientEventTimeoutMs'>, { resumptionMs, longestGapMs = 0 }: EventTimes): number {
  const onTimeMs = gapObjectiveMs - resumptionMs
  return onTimeMs > Math.max(MIN_RESPONSE_TIMEOUT_MS, longestGapMs) ? onTimeMs : clientEventTimeoutMs / 2
}
