/** Streamed chat completions over HTTP, with the time of each token and a check of the complete text. */
import type { Clock } from 'anvilarch-utils'
import { createParser } from 'eventsource-parser'
import type { Dispatcher } from 'undici'
import { type RequestResult, interruptedResult, emptyResult, errorResult } from './requestResult'

/** One chat request. */
export interface ChatRequest {
  requestId: string
  model: string
  /** First message; requests that share it share a prompt prefix. */
  system?: string
  prompt: string
  maxTokens: number
  headers?: Record<string, string>
}

/** Options of all clients. */
export interface ClientOptions {
  clock: Clock
  dispatcher: Dispatcher
  /** @returns the text of the correct response to a request body */
  expectedText: (path: string, body: object) => string
  signal?: AbortSignal
}

/** The fields of a chunk that the reader uses. */
interface ChatChunk {
  choices?: Array<{ delta?: { content?: string }, finish_reason?: string | null }>
  usage?: { prompt_tokens?: number, prompt_tokens_details?: { cached_tokens?: number } } | null
  error?: { code?: string, message?: string, ran?: RequestResult['ran'], retry_after_ms?: number }
}

const DONE = '[DONE]'
const CHAT_PATH = '/v1/chat/completions'

/**
 * @param origin - callers' address of a gateway, or the address of an engine
 * @param request - what to send
 * @param options - clock, connections and the expected text
 * @returns how the request ended; never rejects
 */
export async function sendChat (origin: string, request: ChatRequest, options: ClientOptions): Promise<RequestResult> {
  const { clock } = options
  const reader = createChatReader(clock)
  const body = chatBody(request, true)
  const expected = options.expectedText(CHAT_PATH, body)
  try {
    const response = await options.dispatcher.request({
      origin,
      path: CHAT_PATH,
      method: 'POST',
      headers: { 'content-type': 'application/json', 'x-request-id': request.requestId, 'x-attempt-id': request.requestId, ...request.headers },
      body: JSON.stringify(body),
      signal: options.signal
    })
    if (response.statusCode >= 400) {
      const text = await response.body.text()
      return errorResult(response.statusCode, response.headers['retry-after'], text, clock.nowMs())
    }
    reader.result.status = response.statusCode
    const decoder = new TextDecoder()
    for await (const chunk of response.body) reader.feed(decoder.decode(chunk as Uint8Array, { stream: true }))
  } catch (error) {
    return reader.finish(expected, error)
  }
  return reader.finish(expected)
}

/**
 * @param request - what to send
 * @param stream - whether the response is an event stream
 * @returns the JSON body
 */
export function chatBody (request: Pick<ChatRequest, 'model' | 'system' | 'prompt' | 'maxTokens'>, stream: boolean): object {
  const system = request.system === undefined ? [] : [{ role: 'system', content: request.system }]
  return { model: request.model, messages: [...system, { role: 'user', content: request.prompt }], max_tokens: request.maxTokens, stream, ...(stream ? { stream_options: { include_usage: true } } : {}) }
}

/** Collects one streamed response. */
interface ChatReader {
  result: RequestResult
  feed: (text: string) => void
  /** @param error - what interrupted the stream; undefined after a regular end */
  finish: (expected: string, error?: unknown) => RequestResult
}

/**
 * @param clock - gives the time at which the event of each token was read
 * @returns a reader of one event stream
 */
export function createChatReader (clock: Clock): ChatReader {
  const result = emptyResult(0)
  let text = ''
  /** The parts that follow the text; a response that lacks one is incomplete. */
  const receivedParts = { reason: false, usage: false, done: false }
  let hasInvalidEvent = false
  let lastTokenAtMs: number | undefined

  const recordToken = (content: string): void => {
    const nowMs = clock.nowMs()
    text += content
    result.tokens++
    result.firstTokenAtMs ??= nowMs
    if (lastTokenAtMs !== undefined) result.gapsMs.push(nowMs - lastTokenAtMs)
    lastTokenAtMs = nowMs
  }
  const onEvent = (data: string): void => {
    if (data === DONE) {
      receivedParts.done = true
      return
    }
    const chunk = parseChunk(data)
    if (chunk === undefined) {
      hasInvalidEvent = true
      return
    }
    if (chunk.error !== undefined) {
      result.code = chunk.error.code ?? 'error_event'
      result.ran = chunk.error.ran ?? ''
      result.retryAfterMs = chunk.error.retry_after_ms
      result.detail = chunk.error.message ?? ''
      return
    }
    receivedParts.usage ||= typeof chunk.usage === 'object' && chunk.usage !== null
    receivedParts.reason ||= typeof chunk.choices?.[0]?.finish_reason === 'string'
    result.promptTokens = chunk.usage?.prompt_tokens ?? result.promptTokens
    result.cachedTokens = chunk.usage?.prompt_tokens_details?.cached_tokens ?? result.cachedTokens
    const content = chunk.choices?.[0]?.delta?.content
    if (content !== undefined && content !== '') recordToken(content)
  }
  const parser = createParser({ onEvent: event => { onEvent(event.data) } })

  const outcomeOf = (expected: string): RequestResult['outcome'] => {
    if (result.code !== '') return 'failed'
    if (result.isMismatched) return 'wrong'
    return text === expected && Object.values(receivedParts).every(Boolean) ? 'completed' : 'incomplete'
  }
  return {
    result,
    feed: chunk => { parser.feed(chunk) },
    finish: (expected, error) => {
      result.isMismatched = hasInvalidEvent || !expected.startsWith(text)
      if (error !== undefined) return interruptedResult(error, clock.nowMs(), result)
      const outcome = outcomeOf(expected)
      const detail = outcome === 'wrong' ? `expected ${JSON.stringify(expected.slice(0, 60))}, got ${JSON.stringify(text.slice(0, 60))}` : result.detail
      return { ...result, outcome, detail, endedAtMs: clock.nowMs() }
    }
  }
}

function parseChunk (data: string): ChatChunk | undefined {
  try {
    return JSON.parse(data) as ChatChunk
  } catch {
    return undefined
  }
}
