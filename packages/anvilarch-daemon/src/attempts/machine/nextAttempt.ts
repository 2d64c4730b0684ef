/** Decides what follows when an attempt did not bring the whole answer. */
import type { RunStatus } from 'anvilarch-utils'
import { combineRan, endFailed } from './ending'
import { DEFAULT_RETRY_AFTER_MS, MAX_ATTEMPTS, MAX_FREE_RETRIES } from './limits'
import type { Failure, RequestCommand, RequestState, Step, StepInput } from './types'

/** How an attempt failed. */
export interface AttemptFailure extends Failure {
  /** Whether the attempt ran. */
  ran: RunStatus
  /** Going elsewhere costs no more than a round trip, so the first few take nothing from the retry budget. */
  free?: boolean
  /** Whether the endpoint may be asked again; a crashed or lost one only after the directory has heard of it again. */
  mayReturn?: 'at_once' | 'when_none_left'
  /** No other endpoint would do better. */
  final?: boolean
}

/**
 * Goes to another endpoint if that is allowed, else ends the request.
 *
 * @param state - the request, with the failed attempt still in it
 * @param failed - how the attempt failed
 * @param input - facts of the moment
 * @param commands - commands that go first
 * @returns the step
 */
export function afterAttempt (state: RequestState, failed: AttemptFailure, input: StepInput, commands: RequestCommand[] = []): Step {
  const closed = closeAttempt(state, failed)
  const obstacle = obstacleOf(closed, failed, input)
  if (obstacle !== undefined) return endFailed(closed, closed.ran, obstacle, commands)
  if (failed.free === true && closed.freeRetries < MAX_FREE_RETRIES) {
    return chooseAgain({ ...closed, freeRetries: closed.freeRetries + 1 }, commands)
  }
  if (!input.retryAllowed) return endFailed(closed, closed.ran, withRetryAfter(failed), commands)
  return chooseAgain(closed, [...commands, { kind: 'take_retry', reason: failed.reason }])
}

/**
 * Runs a request again whose endpoint crashed, or was down. This takes from the retry budget but is never refused by it, so
 * that those who only shared an endpoint with a crashing request still get their answers.
 *
 * @param state - the request, with the failed attempt still in it
 * @param failed - how the attempt failed
 * @param input - facts of the moment
 * @param commands - commands that go first
 * @returns the step
 */
export function againUnrefused (state: RequestState, failed: AttemptFailure, input: StepInput, commands: RequestCommand[]): Step {
  const closed = closeAttempt(state, failed)
  const obstacle = obstacleOf(closed, failed, input)
  if (obstacle !== undefined) return endFailed(closed, closed.ran, obstacle, commands)
  return chooseAgain(closed, [...commands, { kind: 'take_retry', reason: failed.reason }])
}

/**
 * @param state - the request, without an open attempt
 * @param commands - commands that go first
 * @returns the step that asks for an endpoint
 */
export function chooseAgain (state: RequestState, commands: RequestCommand[] = []): Step {
  return {
    state: { ...state, phase: 'choosing' },
    commands: [...commands, { kind: 'choose', exclude: state.waitUntilMs === undefined ? state.tried : state.barred }]
  }
}

function closeAttempt (state: RequestState, failed: AttemptFailure): RequestState {
  const key = state.attempt?.target.key
  const tried = key === undefined || failed.mayReturn === 'at_once' ? state.tried : [...state.tried, key]
  const barred = key === undefined || failed.mayReturn !== undefined ? state.barred : [...state.barred, key]
  const taken = state.taken || state.attempt?.accepted === true
  return { ...state, attempt: undefined, ran: combineRan(state.ran, failed.ran), tried, barred, taken, failure: failed }
}

/** @returns what to tell the caller when no further attempt is allowed, else undefined */
function obstacleOf (closed: RequestState, failed: AttemptFailure, input: StepInput): Failure | undefined {
  if (failed.final === true) return failed
  if (input.quarantined) return quarantinedFailure(failed.peer)
  if (!closed.facts.idempotent && closed.ran !== 'not_run') return { ...failed, code: unknownOr(closed.ran, failed), retryAfterMs: undefined }
  if (closed.attempts >= MAX_ATTEMPTS) return withRetryAfter(failed)
  if (!input.continuable) return { ...failed, code: 'incomplete', message: `the answer broke off and can't be continued: ${failed.message}` }
  return undefined
}

/** A call that is not idempotent and may have run must not be sent again, by whoever reads the code of the error. */
function unknownOr (ran: RunStatus, failed: AttemptFailure): Failure['code'] {
  return ran === 'unknown' ? 'outcome_unknown' : failed.code
}

function withRetryAfter (failed: Failure): Failure {
  return { ...failed, retryAfterMs: failed.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS }
}

/**
 * @param peer - the endpoint that crashed last, or an empty string
 * @returns what the caller of a quarantined request is told
 */
export function quarantinedFailure (peer: string): Failure {
  return {
    reason: 'quarantined',
    code: 'quarantined',
    message: 'this request crashed the endpoints that ran it, also with nothing beside it; it is not run again',
    step: 'attempts.quarantine',
    peer
  }
}
