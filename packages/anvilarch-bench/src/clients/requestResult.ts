/** The result of one request at its client, and parsing of the error responses of a gateway. */
import type { RunStatus } from 'anvilarch-utils'

/**
 * How a request ended at its client. `incomplete`: the response was interrupted or lacks a part. `wrong`: the response is
 * complete, but belongs to another request. `unreachable`: no HTTP response.
 */
export type RequestOutcome = 'completed' | 'refused' | 'failed' | 'incomplete' | 'wrong' | 'unreachable'

/** Result of one request. Times are on the monotonic scale of the client's clock. */
export interface RequestResult {
  outcome: RequestOutcome
  /** HTTP status; 0 without a response. */
  status: number
  /** Code of the error body or of a socket error; empty for a completed request. */
  code: string
  /** What the error body states about whether the request ran. */
  ran: RunStatus | ''
  /** Value of `Retry-After`; undefined when the response has none. */
  retryAfterMs: number | undefined
  firstTokenAtMs: number | undefined
  /** Times between consecutive tokens. */
  gapsMs: number[]
  tokens: number
  /** Tokens of the prompt, and those of them that the engine had cached; 0 when the response has no usage. */
  promptTokens: number
  cachedTokens: number
  endedAtMs: number
  /** Whether the received text is not a prefix of the expected text, or an event was not valid JSON. */
  isMismatched: boolean
  detail: string
}

/** Statuses with which a server refuses a request. */
const REFUSAL_STATUSES = new Set([409, 429, 503])

/** The error body of a gateway. */
interface ErrorBody {
  error?: { code?: string, message?: string, ran?: RunStatus, retry_after_ms?: number }
}

/** A header value as undici returns it. */
type HeaderValue = string | string[] | undefined

const MS_PER_SECOND = 1000

/**
 * @param endedAtMs - when the response ended
 * @returns a result without content, to be filled in
 */
export function emptyResult (endedAtMs: number): RequestResult {
  return {
    outcome: 'incomplete',
    status: 0,
    code: '',
    ran: '',
    retryAfterMs: undefined,
    firstTokenAtMs: undefined,
    gapsMs: [],
    tokens: 0,
    promptTokens: 0,
    cachedTokens: 0,
    endedAtMs,
    isMismatched: false,
    detail: ''
  }
}

/**
 * @param status - HTTP status of at least 400
 * @param retryAfter - value of the header `Retry-After`
 * @param text - body of the response
 * @param endedAtMs - when the response ended
 * @returns the result with the code of the error body
 */
export function errorResult (status: number, retryAfter: HeaderValue, text: string, endedAtMs: number): RequestResult {
  const error = parseError(text)
  const bodyRetryAfterMs = error?.retry_after_ms
  const headerRetryAfterMs = parseRetryAfter(retryAfter)
  return {
    ...emptyResult(endedAtMs),
    outcome: REFUSAL_STATUSES.has(status) && error?.ran !== 'unknown' ? 'refused' : 'failed',
    status,
    code: error?.code ?? `http_${status}`,
    ran: error?.ran ?? '',
    retryAfterMs: headerRetryAfterMs ?? bodyRetryAfterMs,
    detail: error?.message ?? text.slice(0, 200)
  }
}

/**
 * @param error - thrown by undici
 * @param endedAtMs - when it was thrown
 * @param partial - result of what had been received until then
 * @returns an incomplete result, or an unreachable one when no response had been received
 */
export function interruptedResult (error: unknown, endedAtMs: number, partial?: RequestResult): RequestResult {
  const code = (error as { code?: string }).code ?? (error as Error).name
  const outcome = partial === undefined || partial.status === 0 ? 'unreachable' : 'incomplete'
  return { ...(partial ?? emptyResult(endedAtMs)), outcome, code, endedAtMs, detail: (error as Error).message }
}

function parseError (text: string): ErrorBody['error'] {
  try {
    return (JSON.parse(text) as ErrorBody).error
  } catch {
    return undefined
  }
}

function parseRetryAfter (value: HeaderValue): number | undefined {
  const seconds = Number(Array.isArray(value) ? value[0] : value)
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined
}
