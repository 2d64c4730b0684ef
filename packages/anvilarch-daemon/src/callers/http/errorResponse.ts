/** Typed JSON errors, in the format of OpenAI-style clients. */
import type { ServerResponse } from 'node:http'
import type { AnvilarchError, ErrorCode } from 'anvilarch-utils'
import { sendJson } from './sendJson'

/** HTTP status of each error code. */
const STATUS: Record<ErrorCode, number> = {
  bad_request: 400,
  unauthorized: 401,
  not_found: 404,
  method_not_allowed: 405,
  conflict: 409,
  stale_lease: 409,
  stale_configuration: 409,
  too_large: 413,
  quarantined: 422,
  rate_limited: 429,
  cancelled: 499,
  internal: 500,
  endpoint_failed: 502,
  incomplete: 502,
  outcome_unknown: 502,
  overloaded: 503,
  unavailable: 503,
  draining: 503,
  not_ready: 503,
  platform_unavailable: 503,
  deadline_exceeded: 504
}

/** Errors after which a client must not retry at once, although their status suggests it. */
const NO_RETRY = new Set<ErrorCode>(['outcome_unknown', 'quarantined', 'incomplete'])

const MS_PER_SECOND = 1_000

/** Body of an error response. */
export interface ErrorBody {
  error: {
    message: string
    type: string
    code: ErrorCode
    step: string
    peer?: string
    ran: string
    retry_after_ms?: number
    request_id: string
  }
}

/**
 * @param code - error code
 * @returns its HTTP status
 */
export function statusOf (code: ErrorCode): number {
  return STATUS[code]
}

/**
 * @param error - the error
 * @param requestId - id of the failed request
 * @returns the JSON body
 */
export function errorBody (error: AnvilarchError, requestId: string): ErrorBody {
  return {
    error: {
      message: error.message,
      type: typeOf(error.code),
      code: error.code,
      step: error.step,
      peer: error.peer,
      ran: error.ran,
      retry_after_ms: error.retryAfterMs,
      request_id: requestId
    }
  }
}

function typeOf (code: ErrorCode): string {
  if (code === 'rate_limited') return 'rate_limit_error'
  if (code === 'unauthorized') return 'authentication_error'
  return STATUS[code] < 500 ? 'invalid_request_error' : 'server_error'
}

/**
 * Sends an error, with `Retry-After` if the error has a retry time.
 *
 * @param response - the response; its head must not have been sent
 * @param error - the error
 * @param requestId - id of the failed request
 */
export function sendError (response: ServerResponse, error: AnvilarchError, requestId: string): void {
  if (error.retryAfterMs !== undefined) {
    response.setHeader('retry-after', String(Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_SECOND))))
  }
  if (NO_RETRY.has(error.code) || (error.code === 'conflict' && error.retryAfterMs === undefined)) {
    response.setHeader('x-should-retry', 'false')
  }
  sendJson(response, STATUS[error.code], errorBody(error, requestId))
}
