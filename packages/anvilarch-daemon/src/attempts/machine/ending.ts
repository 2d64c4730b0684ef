/** Ends a request, with what is proved about whether it ran. */
import { invariant, type RunStatus } from 'anvilarch-utils'
import { DEFAULT_RETRY_AFTER_MS } from './limits'
import type { AttemptState, Failure, RequestCommand, RequestState, Step } from './types'

/**
 * @param state - the request
 * @returns what is proved of all its attempts, the present one included
 */
export function ranSoFar (state: RequestState): RunStatus {
  return state.attempt === undefined ? state.ran : combineRan(state.ran, ranOfAttempt(state.attempt))
}

/**
 * @param attempt - an attempt in progress
 * @returns whether it ran, as its frames show
 */
export function ranOfAttempt (attempt: AttemptState): RunStatus {
  return attempt.headSeen || attempt.receivedBytes > 0 ? 'ran' : 'unknown'
}

/**
 * @param a - what is proved of some attempts
 * @param b - what is proved of others
 * @returns what is proved of all of them together
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
 * @param failure - what to tell the caller
 * @param commands - commands that go before the end
 * @returns the last step
 */
export function endFailed (state: RequestState, ran: RunStatus, failure: Failure, commands: RequestCommand[] = []): Step {
  invariant(ran !== 'not_run' || state.attempt === undefined, 'not_run_is_proved',
    () => `request ${state.facts.requestId} would be reported not_run while attempt ${state.attempt?.attemptId} is open`)
  const told = withTimeToComeBack(state, ran, failure)
  return {
    state: { ...state, phase: 'ended', attempt: undefined, ran, failure: told },
    commands: [...commands, { kind: 'end', end: { outcome: 'failed', ran, failure: told } }]
  }
}

/** Failures after which the same request may well succeed a little later. */
const PASSING: ReadonlySet<Failure['code']> = new Set(['deadline_exceeded', 'endpoint_failed', 'incomplete', 'overloaded', 'unavailable'])

/** A time to come back is an invitation to send the request again, so a call that may have run must not get one. */
function withTimeToComeBack (state: RequestState, ran: RunStatus, failure: Failure): Failure {
  const mayRunAgain = state.facts.idempotent || ran === 'not_run'
  if (failure.retryAfterMs !== undefined || !mayRunAgain || !PASSING.has(failure.code)) return failure
  return { ...failure, retryAfterMs: DEFAULT_RETRY_AFTER_MS }
}

/**
 * Ends a request as completed.
 *
 * @param state - the request
 * @param outputTokens - tokens that its last attempt produced
 * @param commands - commands that go before the end
 * @returns the last step
 */
export function endCompleted (state: RequestState, outputTokens: number, commands: RequestCommand[]): Step {
  return {
    state: { ...state, phase: 'ended', attempt: undefined, ran: 'ran' },
    commands: [...commands, { kind: 'end', end: { outcome: 'completed', outputTokens } }]
  }
}
