/** The requests of a caller: completions, whole and streamed, and calls to a plain service. Each response is checked completely. */
import { createSystemClock } from 'anvilarch-utils'
import { createParser } from 'eventsource-parser'
import { Agent, request } from 'undici'
import { expectedText } from '../engine/completionPlan'
import { expectedPlainAnswer } from '../plain/plainStandin'
import { expectThat } from './types'

const CHAT_PATH = '/v1/chat/completions'
const REQUEST_TIMEOUT_MS = 30_000
const clock = createSystemClock()

/** Opens a new connection for each call, so that no call is sent on an idle connection that a draining gateway is closing. */
const dispatcher = new Agent({ pipelining: 0 })

/** A chat request. */
export interface ChatRequest {
  prompt: string
  maxTokens: number
  requestId?: string
}

/** Times and token count of a streamed response. */
export interface StreamResult {
  firstTokenMs: number
  totalMs: number
  tokens: number
}

function chatBody ({ prompt, maxTokens }: ChatRequest, stream: boolean): object {
  return { model: 'assistant', messages: [{ role: 'user', content: prompt }], max_tokens: maxTokens, ...(stream ? { stream: true, stream_options: { include_usage: true } } : {}) }
}

/**
 * @param gatewayUrl - a gateway
 * @param chat - the request
 * @throws DemoFailure when the response is not complete and correct
 */
export async function requestCompletion (gatewayUrl: string, chat: ChatRequest): Promise<void> {
  const body = chatBody(chat, false)
  const { status, text } = await send('POST', gatewayUrl + CHAT_PATH, JSON.stringify(body), chat.requestId)
  expectThat(status === 200, () => `a completion failed with status ${status}: ${text}`)
  const completion = JSON.parse(text) as { choices: Array<{ message: { content: string } }> }
  const expected = expectedText(CHAT_PATH, body)
  expectThat(completion.choices[0].message.content === expected, () => `the text of a completion is wrong: found "${completion.choices[0].message.content}", expected "${expected}"`)
}

/**
 * @param gatewayUrl - a gateway
 * @param chat - the request
 * @returns times and tokens
 * @throws DemoFailure when the response is not complete and correct
 */
export async function streamCompletion (gatewayUrl: string, chat: ChatRequest): Promise<StreamResult> {
  const body = chatBody(chat, true)
  const startMs = clock.nowMs()
  const response = await request(gatewayUrl + CHAT_PATH, { dispatcher, method: 'POST', headers: headersOf(chat.requestId), body: JSON.stringify(body), signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
  expectThat(response.statusCode === 200, () => `a streamed completion failed with status ${response.statusCode}`)
  const received = { text: '', ended: false, tokens: 0, firstTokenMs: 0 }
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        received.ended = true
        return
      }
      const chunk = JSON.parse(data) as { choices?: Array<{ delta?: { content?: string } }>, usage?: { completion_tokens: number } }
      if (received.text === '') received.firstTokenMs = clock.nowMs() - startMs
      received.text += chunk.choices?.[0]?.delta?.content ?? ''
      received.tokens = chunk.usage?.completion_tokens ?? received.tokens
    }
  })
  response.body.setEncoding('utf8')
  for await (const text of response.body) parser.feed(String(text))
  const expected = expectedText(CHAT_PATH, body)
  expectThat(received.ended, () => `a stream ended without its final event after "${received.text}"`)
  expectThat(received.text === expected, () => `the text of a stream is wrong: found "${received.text}", expected "${expected}"`)
  return { firstTokenMs: received.firstTokenMs, totalMs: clock.nowMs() - startMs, tokens: received.tokens }
}

/**
 * @param gatewayUrl - a gateway
 * @param method - method of the call
 * @param path - path within the service
 * @param body - body of the call
 * @param requestId - request id under which the service records the execution
 * @throws DemoFailure when the response is not the one to this call
 */
export async function callLookup (gatewayUrl: string, method: 'GET' | 'POST', path: string, body: string, requestId: string): Promise<void> {
  const { status, text } = await send(method, `${gatewayUrl}/services/lookup${path}`, body, requestId)
  expectThat(status === 200, () => `${method} ${path} failed with status ${status}: ${text}`)
  const { answer } = JSON.parse(text) as { answer: string }
  expectThat(answer === expectedPlainAnswer(method, path, body), () => `${method} ${path} returned the response to another call: ${text}`)
}

async function send (method: 'GET' | 'POST', url: string, body: string, requestId: string | undefined): Promise<{ status: number, text: string }> {
  const response = await request(url, { dispatcher, method, headers: headersOf(requestId), body: body === '' ? null : body, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
  return { status: response.statusCode, text: await response.body.text() }
}

function headersOf (requestId: string | undefined): Record<string, string> {
  return { 'content-type': 'application/json', ...(requestId === undefined ? {} : { 'x-request-id': requestId }) }
}
