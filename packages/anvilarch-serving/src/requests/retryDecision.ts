/**
 * Decides what follows an attempt. Pure, so that at-most-once, the budget of attempts and the truth of "not run"
 * can be tested without a network.
 */
import type { Route } from '../model/types'

/**
 * How an attempt ended without a whole answer.
 * `not_run`: the endpoint says so, or nothing was sent. `may_have_run`: anything else.
 */
export type AttemptFailure = 'not_run' | 'may_have_run'

/** State of a request after an attempt. */
export interface RequestProgress {
  /** Attempts that may have run, the last one included. */
  attemptsThatMayHaveRun: number
  /** Whether the head of the answer has gone to the client. */
  responseStarted: boolean
  /** Whether an endpoint is left that has not been tried. */
  hasUntriedEndpoint: boolean
  remainingMs: number
}

/**
 * What follows. `refuse`: 503, the request has not run and never will. `fail`: 502, it may have run.
 * `time_out`: 504. `break_off`: close the connection, so that the answer cannot look complete.
 */
export type NextStep = 'send_again' | 'refuse' | 'fail' | 'time_out' | 'break_off'

/** With less time than this left, another send would only end in the endpoint's own timeout. */
export const MIN_REMAINING_MS = 30

/**
 * @param route - what may be repeated
 * @param failure - how the last attempt ended
 * @param progress - state of the request
 * @returns what follows
 */
export function nextStep (route: Pick<Route, 'kind' | 'resumable' | 'maxAttempts'>, failure: AttemptFailure, progress: RequestProgress): NextStep {
  const mayHaveRun = progress.attemptsThatMayHaveRun > 0
  const timeLeft = progress.remainingMs > MIN_REMAINING_MS
  const budgetLeft = progress.attemptsThatMayHaveRun < route.maxAttempts
  const repeatable = !mayHaveRun || isRetryable(route)
  if (timeLeft && repeatable && budgetLeft && progress.hasUntriedEndpoint) return 'send_again'
  if (progress.responseStarted) return 'break_off'
  if (!mayHaveRun) return 'refuse'
  return timeLeft ? 'fail' : 'time_out'
}

/** @returns whether a request of this route may run more than once */
export function isRetryable (route: Pick<Route, 'kind' | 'resumable'>): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)
}

/** Part of the pause that counts as on time after which a silent stream goes on elsewhere; the rest pays for the resume. */
const GAP_SHARE = 0.75

/** Multiple of the latency objective after which a silent lookup is sent to another endpoint. Its mean is a quarter of the objective. */
const LOOKUP_SILENCE_FACTOR = 2

/** A stream that has waited this many objectives for its first event is behind a silent endpoint rather than a full queue. */
const FIRST_EVENT_SILENCE_FACTOR = 3

/** Shorter silences are ordinary under load. */
const MIN_SILENCE_MS = 250

/**
 * @param route - kind and objectives
 * @param responseStarted - whether events have come already
 * @returns how long an endpoint may be silent before the request goes elsewhere, if it may
 */
export function silenceTimeoutMs (route: Pick<Route, 'kind' | 'latencyObjectiveMs' | 'gapObjectiveMs'>, responseStarted: boolean): number {
  if (route.kind !== 'stream') return Math.max(MIN_SILENCE_MS, LOOKUP_SILENCE_FACTOR * route.latencyObjectiveMs)
  if (!responseStarted) return Math.max(MIN_SILENCE_MS, FIRST_EVENT_SILENCE_FACTOR * route.latencyObjectiveMs)
  return Math.max(MIN_SILENCE_MS, GAP_SHARE * route.gapObjectiveMs)
}
