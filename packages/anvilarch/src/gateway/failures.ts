/** Converts transport failures and error responses of a gateway to errors with a hint for the operator. */
import { type ConfigurationIssue, formatIssues } from 'anvilarch-configuration'
import type { ErrorCode, RunStatus } from 'anvilarch-utils'
import { CliError } from '../cliError'
import type { ExitReason } from '../exitCodes'

/** Connection errors before anything was sent: the request did not run and may be sent to another gateway. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTDOWN', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Error codes of a gateway that accepts no work while other gateways may. */
const OTHER_GATEWAY_CODES = new Set<string>(['draining', 'not_ready'])

/** Error codes after which the same request may succeed later. */
const RETRYABLE_CODES = new Set<string>(['rate_limited', 'overloaded', 'unavailable', 'platform_unavailable', 'draining', 'not_ready'])

/** Exit reasons by HTTP status; `failed` for all others. */
const EXIT_BY_STATUS: Partial<Record<number, ExitReason>> = { 409: 'conflict', 422: 'invalid_document' }

/** Hints by error code of the gateway. */
const HINTS: Partial<Record<string, string>> = {
  unauthorized: 'Check --api-key or ANVILARCH_API_KEY.',
  rate_limited: 'Wait as long as stated, or raise the limits of this caller in the configuration.',
  platform_unavailable: 'The platform\'s table or object store is down. Online work continues; try again later.',
  not_ready: 'Try another gateway with --gateway.',
  draining: 'Try another gateway with --gateway.'
}

/** Hints by step and error code of the gateway; they take precedence over `HINTS`. */
const STEP_HINTS: Partial<Record<string, Partial<Record<string, string>>>> = {
  'configuration.apply': { conflict: 'Run "anvilarch config diff FILE" to see what the other change holds, then apply again.' },
  'jobs.upload': { bad_request: 'Correct the file and submit it again.' },
  'jobs.create': { conflict: 'Give another --key, or leave it out.' },
  'jobs.show': { not_found: 'Run "anvilarch job list" for the jobs of this caller account.' },
  'jobs.cancel': { not_found: 'Run "anvilarch job list" for the jobs of this caller account.' },
  'endpoints.drain': { not_found: 'Run "anvilarch endpoint list" for the names of the agents.' }
}

const NOT_A_GATEWAY_HINT = 'Check that --gateway names the callers\' address of a gateway.'

/** Body of an error response. */
interface ErrorBody {
  error?: { message?: string, code?: string, step?: string, peer?: string, ran?: RunStatus, retry_after_ms?: number, request_id?: string } | string
  version?: number
  issues?: ConfigurationIssue[]
}

/** The call during which a connection failed. */
export interface FailedCall {
  step: string
  gatewayUrl: string
  /** A read has no effect, so its outcome is known even if the response is lost. */
  isRead: boolean
}

/**
 * Converts an error of the HTTP client.
 *
 * @param cause - rejection of the HTTP client
 * @param call - the failed call
 * @returns an error with code `unavailable` if the call had no effect, else `outcome_unknown`
 */
export function transportFailure (cause: unknown, call: FailedCall): CliError {
  if (cause instanceof CliError) return cause
  const { step, gatewayUrl, isRead } = call
  if (cause instanceof SyntaxError) return notJsonError(cause, step, gatewayUrl)
  const { code, message } = describeCause(cause)
  if (CONNECT_ERROR_CODES.has(code)) {
    return new CliError(`No connection to gateway "${gatewayUrl}": ${message}.`, {
      code: 'unavailable', step, peer: gatewayUrl, ran: 'not_run', exit: 'unreachable', cause, hint: 'Check --gateway or ANVILARCH_GATEWAY, and whether a gateway runs there.'
    })
  }
  if (isRead) {
    return new CliError(`Gateway "${gatewayUrl}" sent no complete response: ${message}.`, {
      code: 'unavailable', step, peer: gatewayUrl, ran: 'not_run', exit: 'unreachable', cause, hint: 'Try again, or name another gateway with --gateway.'
    })
  }
  return new CliError(`The connection to gateway "${gatewayUrl}" was lost before the response was complete: ${message}.`, {
    code: 'outcome_unknown', step, peer: gatewayUrl, ran: 'unknown', exit: 'unreachable', cause, hint: 'Look at the state with the matching "show" or "status" command before you try again.'
  })
}

/**
 * Converts an error response.
 *
 * @param status - HTTP status of the response
 * @param bodyText - body of the response
 * @param retryAfter - value of the `Retry-After` header, in seconds
 * @param step - step of the call
 * @param gatewayUrl - URL of the gateway that responded
 * @returns the error that the gateway reported
 */
export function responseFailure (status: number, bodyText: string, retryAfter: string | undefined, step: string, gatewayUrl: string): CliError {
  const body = parseBody(bodyText)
  const reported = typeof body.error === 'object' ? body.error : { message: body.error }
  const code = (reported.code ?? 'internal') as ErrorCode
  const issues = body.issues
  return new CliError(reported.message ?? (issues === undefined ? `Gateway "${gatewayUrl}" responded with status ${status}.` : 'The document is not valid.'), {
    code,
    step: reported.step ?? step,
    peer: reported.peer ?? gatewayUrl,
    ran: reported.ran ?? (status >= 300 && status < 500 ? 'not_run' : 'unknown'),
    retryAfterMs: reported.retry_after_ms ?? secondsToMs(retryAfter),
    exit: EXIT_BY_STATUS[status] ?? 'failed',
    hint: reported.code === undefined && issues === undefined ? NOT_A_GATEWAY_HINT : STEP_HINTS[step]?.[code] ?? HINTS[code],
    data: { status, requestId: reported.request_id, version: body.version, issues },
    text: issues === undefined ? undefined : formatIssues(issues)
  })
}

/** @returns whether the same request may be sent to another gateway immediately */
export function mayUseOtherGateway (error: CliError): boolean {
  if (error.ran !== 'not_run') return false
  return (error.exit === 'unreachable' && error.code === 'unavailable') || OTHER_GATEWAY_CODES.has(error.code)
}

/** @returns whether the same request may succeed later; use it only for requests that may be sent twice */
export function isRetryable (error: CliError): boolean {
  if (error.exit !== 'failed' && error.exit !== 'unreachable') return false
  return error.ran === 'unknown' || error.exit === 'unreachable' || RETRYABLE_CODES.has(error.code)
}

function notJsonError (cause: SyntaxError, step: string, gatewayUrl: string): CliError {
  return new CliError(`The response of "${gatewayUrl}" is not JSON.`, {
    code: 'internal', step, peer: gatewayUrl, ran: 'unknown', exit: 'failed', cause, hint: NOT_A_GATEWAY_HINT
  })
}

/** Extracts code and message. A failed connection to a name with several addresses has one error for each of them. */
function describeCause (cause: unknown): { code: string, message: string } {
  const { code = '', message = String(cause), errors } = cause as NodeJS.ErrnoException & { errors?: unknown[] }
  if (errors !== undefined && errors.length > 0) return describeCause(errors[0])
  return { code, message: message === '' ? code : message }
}

function parseBody (text: string): ErrorBody {
  try {
    return (JSON.parse(text) ?? {}) as ErrorBody
  } catch {
    return {}
  }
}

function secondsToMs (retryAfter: string | undefined): number | undefined {
  const seconds = Number(retryAfter)
  return retryAfter === undefined || Number.isNaN(seconds) ? undefined : seconds * 1000
}
