/** Decides whether a request is retried after an attempt without a complete response. */
import type { RunStatus } from 'anvilarch-utils'
import { combineRan, endFailed } from './ending'
import { DEFAULT_RETRY_AFTER_MS, MAX_ATTEMPTS, MAX_UNBUDGETED_RETRIES } from './limits'
import type { Failure, RequestCommand, RequestState, Step, StepInput } from './types'

/** How an attempt failed. */
export interface AttemptFailure extends Failure {
  /** Whether the attempt ran. */
  ran: RunStatus
  /** A retry costs no more than a round trip, so the first few take nothing from the retry budget. */
  unbudgeted?: boolean
  /** When the endpoint may be tried again; a crashed or lost one only after the directory lists it as ready again. */
  mayReturn?: 'at_once' | 'when_none_left'
  /** No other endpoint would succeed. */
  final?: boolean
}

/**
 * Retries at another endpoint if that is allowed, else ends the request.
 *
 * @param state - the request, including the failed attempt
 * @param failed - how the attempt failed
 * @param input - current conditions
 * @param commands - commands to execute first
 * @returns the step
 */
export function retryOrEnd (state: RequestState, failed: AttemptFailure, input: StepInput, commands: RequestCommand[] = []): Step {
  const closed = closeAttempt(state, failed)
  const finalFailure = failureWithoutRetry(closed, failed, input)
  if (finalFailure !== undefined) return endFailed(closed, closed.ran, finalFailure, commands)
  if (failed.unbudgeted === true && closed.unbudgetedRetries < MAX_UNBUDGETED_RETRIES) {
    return chooseEndpoint({ ...closed, unbudgetedRetries: closed.unbudgetedRetries + 1 }, commands)
  }
  if (!input.retryAllowed) return endFailed(closed, closed.ran, withRetryAfter(failed), commands)
  return chooseEndpoint(closed, [...commands, { kind: 'take_retry', reason: failed.reason }])
}

/**
 * Retries a request whose endpoint crashed or was down. This takes from the retry budget but is never refused by it, so that
 * requests that only shared an endpoint with a crashing one still complete.
 *
 * @param state - the request, including the failed attempt
 * @param failed - how the attempt failed
 * @param input - current conditions
 * @param commands - commands to execute first
 * @returns the step
 */
export function retryDespiteBudget (state: RequestState, failed: AttemptFailure, input: StepInput, commands: RequestCommand[]): Step {
  const closed = closeAttempt(state, failed)
  const finalFailure = failureWithoutRetry(closed, failed, input)
  if (finalFailure !== undefined) return endFailed(closed, closed.ran, finalFailure, commands)
  return chooseEndpoint(closed, [...commands, { kind: 'take_retry', reason: failed.reason }])
}

/**
 * @param state - the request, without an open attempt
 * @param commands - commands to execute first
 * @returns the step that requests an endpoint
 */
export function chooseEndpoint (state: RequestState, commands: RequestCommand[] = []): Step {
  return {
    state: { ...state, phase: 'choosing' },
    commands: [...commands, { kind: 'choose', exclude: state.waitUntilMs === undefined ? state.tried : state.excluded }]
  }
}

function closeAttempt (state: RequestState, failed: AttemptFailure): RequestState {
  const key = state.attempt?.target.key
  const tried = key === undefined || failed.mayReturn === 'at_once' ? state.tried : [...state.tried, key]
  const excluded = key === undefined || failed.mayReturn !== undefined ? state.excluded : [...state.excluded, key]
  const wasAccepted = state.wasAccepted || state.attempt?.accepted === true
  return { ...state, attempt: undefined, ran: combineRan(state.ran, failed.ran), tried, excluded, wasAccepted, failure: failed }
}

/** @returns the failure to report to the caller when no further attempt is allowed, else undefined */
function failureWithoutRetry (closed: RequestState, failed: AttemptFailure, input: StepInput): Failure | undefined {
  if (failed.final === true) return failed
  if (input.quarantined) return quarantinedFailure(failed.peer)
  if (!closed.facts.idempotent && closed.ran !== 'not_run') return { ...failed, code: codeByRan(closed.ran, failed), retryAfterMs: undefined }
  if (closed.attempts >= MAX_ATTEMPTS) return withRetryAfter(failed)
  if (!input.continuable) return { ...failed, code: 'incomplete', message: `the answer broke off and can't be continued: ${failed.message}` }
  return undefined
}

/** A non-idempotent call that may have run must not be sent again by a client that acts on the error code. */
function codeByRan (ran: RunStatus, failed: AttemptFailure): Failure['code'] {
  return ran === 'unknown' ? 'outcome_unknown' : failed.code
}

function withRetryAfter (failed: Failure): Failure {
  return { ...failed, retryAfterMs: failed.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS }
}

/**
 * @param peer - the endpoint that crashed last, or an empty string
 * @returns the failure reported to the caller of a quarantined request
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
