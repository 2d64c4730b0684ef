/** Online requests: streamed and plain chat completions. */
import { expectedText } from 'anvilarch-standins'
import { promptText } from '../../harness/fleetLoad'
import type { RequestResult } from '../../clients/requestResult'
import { chatBody, sendChat } from '../../clients/chatClient'
import { TIMED_OUT } from '../checker/callChecks'
import type { AnswerFault, CallKind, CallRecord, Told } from '../types'
import { CALL_TIMEOUT_MS, sendWhole } from './sendWhole'
import { type GatewayAddress, type LoadContext, MODEL } from './types'

/** One online request. */
export interface ModelCall {
  requestId: string
  kind: Extract<CallKind, 'stream' | 'chat' | 'crashing'>
  prompt: string
  maxTokens: number
  gateway: GatewayAddress
  key?: string
  headers?: Record<string, string>
  /** Aborted when the caller goes away. */
  signal?: AbortSignal
}

const CHAT_PATH = '/v1/chat/completions'
const PROMPT_FROM = 20
const PROMPT_UNTIL = 400

/**
 * @param context - random numbers
 * @param requestId - makes the prompt unlike every other one, so that a crossed answer is seen
 * @returns a prompt
 */
export function drawPrompt ({ random }: LoadContext, requestId: string): string {
  return promptText(random, random.between(PROMPT_FROM, PROMPT_UNTIL), `${requestId} `)
}

/**
 * @param context - of the load
 * @param call - what to ask
 * @returns the record, which is part of the evidence already
 */
export async function callModel (context: LoadContext, call: ModelCall): Promise<CallRecord> {
  const record = call.kind === 'stream' ? await callStreamed(context, call) : await callPlain(context, call)
  context.evidence.calls.push(record)
  return record
}

async function callStreamed (context: LoadContext, call: ModelCall): Promise<CallRecord> {
  const { clock, dispatcher } = context
  const sentAtMs = clock.wallMs()
  const timeout = AbortSignal.timeout(CALL_TIMEOUT_MS)
  const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal])
  const { requestId, prompt, maxTokens, headers } = call
  const answer = await sendChat(call.gateway.origin, { requestId, model: MODEL, prompt, maxTokens, headers }, { clock, dispatcher, expectedText, signal })
  return {
    ...baseRecord(call),
    sentAtMs,
    endedAtMs: clock.wallMs(),
    status: answer.status,
    code: timeout.aborted ? TIMED_OUT : answer.code,
    ran: answer.ran,
    retryAfterMs: answer.retryAfterMs,
    detail: answer.detail,
    ...judgeStream(answer, call.signal?.aborted === true)
  }
}

/**
 * A stream that ended without an error was told as whole, even if its last event is missing. Whatever its end, its pieces
 * must be the start of the right answer.
 *
 * @param answer - as the client read it
 * @param isGone - whether the caller went away before its end
 * @returns what the caller was told
 */
export function judgeStream (answer: RequestResult, isGone: boolean): { told: Told, fault: AnswerFault | undefined } {
  const crossed = answer.isMismatched ? 'crossed' : undefined
  if (isGone) return { told: 'gone', fault: crossed }
  const ended = answer.code === ''
  const verdicts: Record<RequestResult['outcome'], { told: Told, fault: AnswerFault | undefined }> = {
    completed: { told: 'whole', fault: undefined },
    refused: { told: 'refused', fault: undefined },
    failed: { told: 'failed', fault: crossed },
    incomplete: ended ? { told: 'whole', fault: 'incomplete' } : { told: 'broken', fault: crossed },
    wrong: { told: 'whole', fault: 'crossed' },
    unreachable: { told: 'broken', fault: undefined }
  }
  return verdicts[answer.outcome]
}

async function callPlain (context: LoadContext, call: ModelCall): Promise<CallRecord> {
  const body = chatBody({ model: MODEL, prompt: call.prompt, maxTokens: call.maxTokens }, false)
  const { text, ...answer } = await sendWhole(context, call.gateway, {
    method: 'POST',
    path: CHAT_PATH,
    headers: { 'content-type': 'application/json', 'x-request-id': call.requestId, ...call.headers },
    body: JSON.stringify(body),
    signal: call.signal
  })
  const fault = answer.told === 'whole' ? judgeText(text, expectedText(CHAT_PATH, body)) : undefined
  return { ...baseRecord(call), ...answer, fault }
}

/**
 * @param text - JSON body of an answer that was told as whole
 * @param expected - text of the right answer
 * @returns what is wrong with it
 */
export function judgeText (text: string, expected: string): AnswerFault | undefined {
  try {
    const { choices } = JSON.parse(text) as { choices?: Array<{ message?: { content?: string }, finish_reason?: string | null }> }
    const found = choices?.[0]?.message?.content ?? ''
    if (found === expected) return typeof choices?.[0]?.finish_reason === 'string' ? undefined : 'incomplete'
    return expected.startsWith(found) ? 'incomplete' : 'crossed'
  } catch {
    return 'incomplete'
  }
}

function baseRecord (call: ModelCall): Pick<CallRecord, 'requestId' | 'kind' | 'gateway' | 'key' | 'idempotent'> {
  return { requestId: call.requestId, kind: call.kind, gateway: call.gateway.name, key: call.key, idempotent: true }
}
