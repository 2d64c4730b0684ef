/** Decides what the end of one run means for an item: a result, a further run, or only a wait. */
import type { AnvilarchError, ErrorCode } from 'anvilarch-utils'
import type { WorkResult } from '../attempts/types'
import type { FailureKind } from './itemAttempts'

/** What to do with an item. */
export type ItemVerdict =
  /** Final, in the output file. */
  | { verdict: 'answered', statusCode: number, body: Uint8Array }
  /** Final, in the error file; with the endpoint's answer if there was one. */
  | { verdict: 'failed', code: string, message: string, statusCode?: number, body?: Uint8Array }
  /** Run again; this run used up one of the item's attempts. */
  | { verdict: 'run_again', code: string, message: string, statusCode?: number, body?: Uint8Array }
  /** Not run, or given way to other work: wait, without using up an attempt. */
  | { verdict: 'wait', code: string, retryAfterMs?: number }

/** The fleet can't take the item now, or took it back for more urgent work. Nothing is wrong with the item. */
const WAIT_CODES: ReadonlySet<ErrorCode> = new Set([
  'overloaded', 'draining', 'rate_limited', 'not_ready', 'platform_unavailable', 'stale_configuration', 'stale_lease', 'cancelled'
])

/** The item itself is at fault, so that another run ends the same way. */
const FINAL_CODES: ReadonlySet<ErrorCode> = new Set([
  'quarantined', 'bad_request', 'too_large', 'method_not_allowed', 'unauthorized'
])

/** The endpoint or its agent could not be reached any more, or went silent. */
const UNREACHABLE_CODE: ErrorCode = 'unavailable'

const STATUS_TOO_MANY_REQUESTS = 429
const STATUS_UNAVAILABLE = 503

/**
 * @param result - of one run
 * @returns what to do with the item
 */
export function classifyResult (result: WorkResult): ItemVerdict {
  return result.outcome === 'completed' ? classifyStatus(result.status, result.body) : classifyError(result.error)
}

/**
 * @param verdict - of a run that failed
 * @returns how it failed
 */
export function failureKind ({ statusCode, code }: Extract<ItemVerdict, { verdict: 'run_again' }>): FailureKind {
  if (statusCode !== undefined) return 'answered'
  return code === UNREACHABLE_CODE ? 'lost' : 'incomplete'
}

function classifyStatus (statusCode: number, body: Uint8Array): ItemVerdict {
  if (statusCode >= 200 && statusCode < 300) return { verdict: 'answered', statusCode, body }
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
