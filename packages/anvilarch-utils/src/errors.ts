/**
 * Typed errors. Each one carries the step and the peer at which it occurred and whether the request was run, since a caller
 * can only safely retry a request when that is known.
 */

/** Whether a request was run. `not_run` is used only when that is certain. */
export type RunStatus = 'not_run' | 'ran' | 'unknown'

/** Failures that are reported to callers, operators and peers. */
export type ErrorCode =
  | 'bad_request' | 'not_found' | 'method_not_allowed' | 'too_large' | 'unauthorized' | 'conflict'
  | 'rate_limited' | 'overloaded' | 'deadline_exceeded' | 'unavailable' | 'draining' | 'not_ready'
  | 'quarantined' | 'endpoint_failed' | 'outcome_unknown' | 'incomplete' | 'cancelled'
  | 'platform_unavailable' | 'stale_lease' | 'stale_configuration' | 'internal'

/** Fields of an `AnvilarchError`. */
export interface ErrorDetails {
  code: ErrorCode
  /** Step that failed, in the form `slice.operation`. */
  step: string
  /** Remote process or service, if any. */
  peer?: string
  ran?: RunStatus
  /** Time from now after which a retry may succeed. */
  retryAfterMs?: number
  cause?: unknown
}

/** Error type of all packages. */
export class AnvilarchError extends Error {
  readonly code: ErrorCode
  readonly step: string
  readonly peer: string | undefined
  readonly ran: RunStatus
  readonly retryAfterMs: number | undefined

  constructor (message: string, details: ErrorDetails) {
    super(message, { cause: details.cause })
    this.name = 'AnvilarchError'
    this.code = details.code
    this.step = details.step
    this.peer = details.peer
    this.ran = details.ran ?? 'not_run'
    this.retryAfterMs = details.retryAfterMs
  }
}

/**
 * @param error - a thrown value
 * @param details - details to use if it is not an `AnvilarchError`
 * @returns the same error, or a typed one that wraps it
 */
export function toAnvilarchError (error: unknown, details: ErrorDetails): AnvilarchError {
  if (error instanceof AnvilarchError) return error
  const message = error instanceof Error ? error.message : String(error)
  return new AnvilarchError(message, { ...details, cause: error })
}
