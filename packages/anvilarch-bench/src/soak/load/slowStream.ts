/** A caller that reads its stream slower than the engine writes it. */
import { expectedText } from 'anvilarch-standins'
import { type Clock, sleep } from 'anvilarch-utils'
import type { Dispatcher } from 'undici'
import { type RequestResult, errorResult } from '../../clients/requestResult'
import { chatBody, createChatReader } from '../../clients/chatClient'
import type { CallRecord } from '../types'
import { classifyStream, randomPrompt } from './modelCalls'
import { CALL_TIMEOUT_MS } from './sendRequest'
import { type LoadContext, MODEL } from './types'

const CHAT_PATH = '/v1/chat/completions'
const TOKENS = 120
const CHUNK_DELAY_MS = 80

/**
 * @param context - of the load
 * @param requestId - of the call
 */
export async function slowStream (context: LoadContext, requestId: string): Promise<void> {
  const { clock, dispatcher, evidence, gateways } = context
  const gateway = gateways.pick()
  const sentAtMs = clock.wallMs()
  const body = chatBody({ model: MODEL, prompt: randomPrompt(context, requestId), maxTokens: TOKENS }, true)
  const timeout = AbortSignal.timeout(CALL_TIMEOUT_MS)
  const response = await readSlowly(clock, dispatcher, {
    origin: gateway.origin,
    path: CHAT_PATH,
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-request-id': requestId },
    body: JSON.stringify(body),
    signal: timeout
  }, expectedText(CHAT_PATH, body))
  const { status, ran, retryAfterMs, detail } = response
  const record: CallRecord = {
    requestId,
    kind: 'stream',
    gateway: gateway.name,
    key: undefined,
    idempotent: true,
    sentAtMs,
    endedAtMs: clock.wallMs(),
    status,
    code: timeout.aborted ? 'TimeoutError' : response.code,
    ran,
    retryAfterMs,
    detail,
    ...classifyStream(response, false)
  }
  evidence.calls.push(record)
}

async function readSlowly (clock: Clock, dispatcher: Dispatcher, options: Dispatcher.RequestOptions, expected: string): Promise<RequestResult> {
  const reader = createChatReader(clock)
  try {
    const response = await dispatcher.request({ ...options, highWaterMark: 1 })
    if (response.statusCode >= 400) return errorResult(response.statusCode, response.headers['retry-after'], await response.body.text(), clock.nowMs())
    reader.result.status = response.statusCode
    const decoder = new TextDecoder()
    for await (const chunk of response.body) {
      reader.feed(decoder.decode(chunk as Uint8Array, { stream: true }))
      await sleep(clock, CHUNK_DELAY_MS)
    }
  } catch (error) {
    return reader.finish(expected, error)
  }
  return reader.finish(expected)
}
