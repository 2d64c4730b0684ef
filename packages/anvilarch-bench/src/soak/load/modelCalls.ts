/** Online requests: streamed and non-streamed chat completions. */
import { expectedText } from 'anvilarch-standins'
import { promptText } from '../../harness/fleetLoad'
import type { RequestResult } from '../../clients/requestResult'
import { chatBody, sendChat } from '../../clients/chatClient'
import { CLIENT_TIMEOUT_CODE } from '../checker/callChecks'
import type { ResponseFault, CallKind, CallRecord, CallOutcome } from '../types'
import { CALL_TIMEOUT_MS, sendRequest } from './sendRequest'
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
  /** Aborted when the caller disconnects. */
  signal?: AbortSignal
}

const CHAT_PATH = '/v1/chat/completions'
const PROMPT_FROM = 20
const PROMPT_UNTIL = 400

/**
 * @param context - random numbers
 * @param requestId - makes the prompt unique, so that a response to another request is detected
 * @returns a prompt
 */
export function randomPrompt ({ random }: LoadContext, requestId: string): string {
  return promptText(random, random.between(PROMPT_FROM, PROMPT_UNTIL), `${requestId} `)
}

/**
 * @param context - of the load
 * @param call - the request
 * @returns the record, already added to the evidence
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
  const response = await sendChat(call.gateway.origin, { requestId, model: MODEL, prompt, maxTokens, headers }, { clock, dispatcher, expectedText, signal })
  return {
    ...baseRecord(call),
    sentAtMs,
    endedAtMs: clock.wallMs(),
    status: response.status,
    code: timeout.aborted ? CLIENT_TIMEOUT_CODE : response.code,
    ran: response.ran,
    retryAfterMs: response.retryAfterMs,
    detail: response.detail,
    ...classifyStream(response, call.signal?.aborted === true)
  }
}

/**
 * A stream that ended without an error counts as complete, even if its last event is missing. However it ended, its pieces
 * must be the start of the expected response.
 *
 * @param response - as the client read it
 * @param hasDisconnected - whether the caller disconnected before the end
 * @returns the outcome as the caller saw it, and the fault in the content
 */
export function classifyStream (response: RequestResult, hasDisconnected: boolean): { told: CallOutcome, fault: ResponseFault | undefined } {
  const crossed = response.isMismatched ? 'crossed' : undefined
  if (hasDisconnected) return { told: 'gone', fault: crossed }
  const ended = response.code === ''
  const results: Record<RequestResult['outcome'], { told: CallOutcome, fault: ResponseFault | undefined }> = {
    completed: { told: 'whole', fault: undefined },
    refused: { told: 'refused', fault: undefined },
    failed: { told: 'failed', fault: crossed },
    incomplete: ended ? { told: 'whole', fault: 'incomplete' } : { told: 'broken', fault: crossed },
    wrong: { told: 'whole', fault: 'crossed' },
    unreachable: { told: 'broken', fault: undefined }
  }
  return results[response.outcome]
}

async function callPlain (context: LoadContext, call: ModelCall): Promise<CallRecord> {
  const body = chatBody({ model: MODEL, prompt: call.prompt, maxTokens: call.maxTokens }, false)
  const { text, ...result } = await sendRequest(context, call.gateway, {
    method: 'POST',
    path: CHAT_PATH,
    headers: { 'content-type': 'application/json', 'x-request-id': call.requestId, ...call.headers },
    body: JSON.stringify(body),
    signal: call.signal
  })
  const fault = result.told === 'whole' ? findTextFault(text, expectedText(CHAT_PATH, body)) : undefined
  return { ...baseRecord(call), ...result, fault }
}

/**
 * @param text - JSON body of a complete response
 * @param expected - text of the expected response
 * @returns the fault in the body, if any
 */
export function findTextFault (text: string, expected: string): ResponseFault | undefined {
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
