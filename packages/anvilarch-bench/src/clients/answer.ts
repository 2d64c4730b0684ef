/** What a client got for one request, and how error answers of a gateway are read. */
import type { RunStatus } from 'anvilarch-utils'

/**
 * How a request ended at its client. `incomplete`: the answer broke off or came short. `wrong`: it was whole in form,
 * but not the answer to this request. `unreachable`: no HTTP answer at all.
 */
export type AnswerOutcome = 'completed' | 'refused' | 'failed' | 'incomplete' | 'wrong' | 'unreachable'

/** One answer as a client saw it. Times are on the monotonic scale of the client's clock. */
export interface Answer {
  outcome: AnswerOutcome
  /** HTTP status; 0 when there was no answer. */
  status: number
  /** Error code of the typed error, or the code of a socket error; empty for a completed answer. */
  code: string
  /** What the error said about whether the request ran. */
  ran: RunStatus | ''
  /** Value of `Retry-After`; undefined when the answer carried none. */
  retryAfterMs: number | undefined
  firstTokenAtMs: number | undefined
  /** Time between two tokens that followed each other. */
  gapsMs: number[]
  tokens: number
  /** Tokens of the prompt, and those of them that the engine had cached; 0 when the answer carried no usage. */
  promptTokens: number
  cachedTokens: number
  endedAtMs: number
  /** Whether the text that came is not the start of the right answer. */
  isCrossed: boolean
  detail: string
}

/** Statuses by which a server declines a request rather than fails it. */
const REFUSAL_STATUSES = new Set([409, 429, 503])

/** The typed error body of a gateway. */
interface ErrorBody {
  error?: { code?: string, message?: string, ran?: RunStatus, retry_after_ms?: number }
}

/** Header value by lower-case name, as undici gives it. */
type HeaderValue = string | string[] | undefined

const MS_PER_SECOND = 1000

/**
 * @param endedAtMs - when the answer ended
 * @returns an answer without any content, to be filled in
 */
export function emptyAnswer (endedAtMs: number): Answer {
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
    isCrossed: false,
    detail: ''
  }
}

/**
 * @param status - HTTP status of at least 400
 * @param retryAfter - value of the header `Retry-After`
 * @param text - body of the answer
 * @param endedAtMs - when it ended
 * @returns the answer with the code that the error body names
 */
export function errorAnswer (status: number, retryAfter: HeaderValue, text: string, endedAtMs: number): Answer {
  const error = parseError(text)
  const bodyRetryAfterMs = error?.retry_after_ms
  const headerRetryAfterMs = parseRetryAfter(retryAfter)
  return {
    ...emptyAnswer(endedAtMs),
    outcome: REFUSAL_STATUSES.has(status) && error?.ran !== 'unknown' ? 'refused' : 'failed',
    status,
    code: error?.code ?? `http_${status}`,
    ran: error?.ran ?? '',
    retryAfterMs: headerRetryAfterMs ?? bodyRetryAfterMs,
    detail: error?.message ?? text.slice(0, 200)
  }
}

/**
 * @param error - what undici threw
 * @param endedAtMs - when
 * @param partial - what had come until then
 * @returns an answer that broke off, or none at all when nothing had come
 */
export function brokenAnswer (error: unknown, endedAtMs: number, partial?: Answer): Answer {
  const code = (error as { code?: string }).code ?? (error as Error).name
  const outcome = partial === undefined || partial.status === 0 ? 'unreachable' : 'incomplete'
  return { ...(partial ?? emptyAnswer(endedAtMs)), outcome, code, endedAtMs, detail: (error as Error).message }
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
