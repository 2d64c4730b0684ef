/** Ends a request, and reports whether it ran as far as that is proved. */
import { invariant, type RunStatus } from 'anvilarch-utils'
import { DEFAULT_RETRY_AFTER_MS } from './limits'
import type { AttemptState, Failure, RequestCommand, RequestState, Step } from './types'

/**
 * @param state - the request
 * @returns whether any of its attempts ran, including the current one
 */
export function ranSoFar (state: RequestState): RunStatus {
  return state.attempt === undefined ? state.ran : combineRan(state.ran, ranOfAttempt(state.attempt))
}

/**
 * @param attempt - an attempt in progress
 * @returns whether it ran, as its frames prove
 */
export function ranOfAttempt (attempt: AttemptState): RunStatus {
  return attempt.headSeen || attempt.receivedBytes > 0 ? 'ran' : 'unknown'
}

/**
 * @param a - whether some attempts ran
 * @param b - whether other attempts ran
 * @returns whether any of them ran
 */
export function combineRan (a: RunStatus, b: RunStatus): RunStatus {
  if (a === 'ran' || b === 'ran') return 'ran'
  return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not_run'
}

/**
 * Ends a request as failed.
 *
 * @param state - the request
 * @param ran - whether it ran
 * @param failure - failure to report to the caller
 * @param commands - commands to execute before the end
 * @returns the last step
 */
export function endFailed (state: RequestState, ran: RunStatus, failure: Failure, commands: RequestCommand[] = []): Step {
  invariant(ran !== 'not_run' || state.attempt === undefined, 'not_run_is_proved',
    () => `request ${state.facts.requestId} would be reported not_run while attempt ${state.attempt?.attemptId} is open`)
  const reported = withRetryAfterIfRepeatable(state, ran, failure)
  return {
    state: { ...state, phase: 'ended', attempt: undefined, ran, failure: reported },
    commands: [...commands, { kind: 'end', end: { outcome: 'failed', ran, failure: reported } }]
  }
}

/** Codes of failures after which the same request is likely to succeed shortly afterwards. */
const TRANSIENT_CODES: ReadonlySet<Failure['code']> = new Set(['deadline_exceeded', 'endpoint_failed', 'incomplete', 'overloaded', 'unavailable'])

/** Retry-After invites the caller to send the request again, so a non-idempotent call that may have run must not get one. */
function withRetryAfterIfRepeatable (state: RequestState, ran: RunStatus, failure: Failure): Failure {
  const mayBeRepeated = state.facts.idempotent || ran === 'not_run'
  if (failure.retryAfterMs !== undefined || !mayBeRepeated || !TRANSIENT_CODES.has(failure.code)) return failure
  return { ...failure, retryAfterMs: DEFAULT_RETRY_AFTER_MS }
}

/**
 * Ends a request as completed.
 *
 * @param state - the request
 * @param outputTokens - tokens that its last attempt produced
 * @param commands - commands to execute before the end
 * @returns the last step
 */
export function endCompleted (state: RequestState, outputTokens: number, commands: RequestCommand[]): Step {
  return {
    state: { ...state, phase: 'ended', attempt: undefined, ran: 'ran' },
    commands: [...commands, { kind: 'end', end: { outcome: 'completed', outputTokens } }]
  }
}
