/** Decides by the result of one run whether an item is final, is run again, or waits. */
import type { AnvilarchError, ErrorCode } from 'anvilarch-utils'
import type { WorkResult } from '../attempts/types'
import type { FailureKind } from './itemAttempts'

/** What to do with an item. */
export type ItemVerdict =
  /** Final; written to the output file. */
  | { verdict: 'completed', statusCode: number, body: Uint8Array }
  /** Final; written to the error file, with the endpoint's response if there was one. */
  | { verdict: 'failed', code: string, message: string, statusCode?: number, body?: Uint8Array }
  /** Run again, if the item has attempts left. */
  | { verdict: 'run_again', code: string, message: string, statusCode?: number, body?: Uint8Array }
  /** Not run, or preempted by other work: run again after a backoff, without counting an attempt. */
  | { verdict: 'wait', code: string, retryAfterMs?: number }

/** Codes of runs that the fleet rejected or preempted for reasons other than the item itself. */
const WAIT_CODES: ReadonlySet<ErrorCode> = new Set([
  'overloaded', 'draining', 'rate_limited', 'not_ready', 'platform_unavailable', 'stale_configuration', 'stale_lease', 'cancelled'
])

/** Codes of failures caused by the item itself, so that another run would fail in the same way. */
const FINAL_CODES: ReadonlySet<ErrorCode> = new Set([
  'quarantined', 'bad_request', 'too_large', 'method_not_allowed', 'unauthorized'
])

/** Code of a run whose endpoint or agent became unreachable or unresponsive. */
const UNREACHABLE_CODE: ErrorCode = 'unavailable'

const STATUS_TOO_MANY_REQUESTS = 429
const STATUS_UNAVAILABLE = 503

/**
 * @param result - result of one run
 * @returns what to do with the item
 */
export function classifyResult (result: WorkResult): ItemVerdict {
  return result.outcome === 'completed' ? classifyStatus(result.status, result.body) : classifyError(result.error)
}

/**
 * @param verdict - verdict on a failed run
 * @returns how the run failed
 */
export function failureKind ({ statusCode, code }: Extract<ItemVerdict, { verdict: 'run_again' }>): FailureKind {
  if (statusCode !== undefined) return 'responded'
  return code === UNREACHABLE_CODE ? 'lost' : 'incomplete'
}

function classifyStatus (statusCode: number, body: Uint8Array): ItemVerdict {
  if (statusCode >= 200 && statusCode < 300) return { verdict: 'completed', statusCode, body }
  const code = `status_${statusCode}`
  if (statusCode === STATUS_TOO_MANY_REQUESTS || statusCode === STATUS_UNAVAILABLE) return { verdict: 'wait', code }
  const message = `The endpoint answered with status ${statusCode}.`
  if (statusCode >= 500) return { verdict: 'run_again', code, message, statusCode, body }
  return { verdict: 'failed', code, message, statusCode, body }
}

function classifyError (error: AnvilarchError): ItemVerdict {
  const { code, message } = error
  if (FINAL_CODES.has(code)) return { verdict: 'failed', code, message }
  if (WAIT_CODES.has(code) || (error.ran === 'not_run' && code !== 'not_found' && code !== 'internal')) {
    return { verdict: 'wait', code, retryAfterMs: error.retryAfterMs }
  }
  return { verdict: 'run_again', code, message }
}
