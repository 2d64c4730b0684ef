/** Sends an HTTP request and reads its complete response. */
import { Readable } from 'node:stream'
import type { RunStatus } from 'anvilarch-utils'
import { errorResult } from '../../clients/requestResult'
import type { CallOutcome } from '../types'
import type { GatewayAddress, LoadContext } from './types'

export interface HttpCall {
  method: 'GET' | 'POST'
  path: string
  headers?: Record<string, string>
  /** A body that is not a string is sent in chunks. */
  body?: string | AsyncIterable<string>
  timeoutMs?: number
  signal?: AbortSignal
}

/** Outcome and response of a call. */
export interface HttpCallResult {
  told: CallOutcome
  status: number
  code: string
  ran: RunStatus | ''
  retryAfterMs: number | undefined
  text: string
  detail: string
  sentAtMs: number
  endedAtMs: number
}

/** Longer than every deadline of the soak, so that an unanswered call is distinguished from one that exceeded its deadline. */
export const CALL_TIMEOUT_MS = 45_000

/**
 * @param context - clock and connections
 * @param gateway - to call
 * @param call - what to send
 * @returns outcome and response; never rejects
 */
export async function sendRequest (context: LoadContext, gateway: GatewayAddress, call: HttpCall): Promise<HttpCallResult> {
  const { clock, dispatcher } = context
  const result: HttpCallResult = { told: 'broken', status: 0, code: '', ran: '', retryAfterMs: undefined, text: '', detail: '', sentAtMs: clock.wallMs(), endedAtMs: 0 }
  const timeout = AbortSignal.timeout(call.timeoutMs ?? CALL_TIMEOUT_MS)
  const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal])
  try {
    const response = await dispatcher.request({ origin: gateway.origin, path: call.path, method: call.method, headers: call.headers, body: toBody(call.body), signal })
    result.status = response.statusCode
    result.text = await response.body.text()
    result.endedAtMs = clock.wallMs()
    if (response.statusCode < 400) return { ...result, told: 'whole' }
    return { ...result, ...describeError(response.statusCode, response.headers['retry-after'], result.text) }
  } catch (error) {
    const { name, message, code } = error as Error & { code?: string }
    return { ...result, told: call.signal?.aborted === true ? 'gone' : 'broken', code: timeout.aborted ? 'TimeoutError' : code ?? name, detail: message, endedAtMs: clock.wallMs() }
  }
}

function toBody (body: HttpCall['body']): string | Readable | undefined {
  return body === undefined || typeof body === 'string' ? body : Readable.from(body)
}

function describeError (status: number, retryAfter: string | string[] | undefined, text: string): Pick<HttpCallResult, 'told' | 'code' | 'ran' | 'retryAfterMs' | 'detail'> {
  const { outcome, code, ran, retryAfterMs, detail } = errorResult(status, retryAfter, text, 0)
  return { told: outcome === 'refused' ? 'refused' : 'failed', code, ran, retryAfterMs, detail }
}
