/** Sends an HTTP request and reads its complete response. */
import type { RunStatus } from 'anvilarch-utils'
import { errorAnswer } from '../../clients/answer'
import type { Told } from '../types'
import type { GatewayAddress, LoadContext } from './types'

export interface WholeCall {
  method: 'GET' | 'POST'
  path: string
  headers?: Record<string, string>
  body?: string
  timeoutMs?: number
  signal?: AbortSignal
}

/** Outcome and response of a call. */
export interface WholeAnswer {
  told: Told
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
export async function sendWhole (context: LoadContext, gateway: GatewayAddress, call: WholeCall): Promise<WholeAnswer> {
  const { clock, dispatcher } = context
  const answer: WholeAnswer = { told: 'broken', status: 0, code: '', ran: '', retryAfterMs: undefined, text: '', detail: '', sentAtMs: clock.wallMs(), endedAtMs: 0 }
  const timeout = AbortSignal.timeout(call.timeoutMs ?? CALL_TIMEOUT_MS)
  const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal])
  try {
    const response = await dispatcher.request({ origin: gateway.origin, path: call.path, method: call.method, headers: call.headers, body: call.body, signal })
    answer.status = response.statusCode
    answer.text = await response.body.text()
    answer.endedAtMs = clock.wallMs()
    if (response.statusCode < 400) return { ...answer, told: 'whole' }
    return { ...answer, ...describeError(response.statusCode, response.headers['retry-after'], answer.text) }
  } catch (error) {
    const { name, message, code } = error as Error & { code?: string }
    return { ...answer, told: call.signal?.aborted === true ? 'gone' : 'broken', code: timeout.aborted ? 'TimeoutError' : code ?? name, detail: message, endedAtMs: clock.wallMs() }
  }
}

function describeError (status: number, retryAfter: string | string[] | undefined, text: string): Pick<WholeAnswer, 'told' | 'code' | 'ran' | 'retryAfterMs' | 'detail'> {
  const { outcome, code, ran, retryAfterMs, detail } = errorAnswer(status, retryAfter, text, 0)
  return { told: outcome === 'refused' ? 'refused' : 'failed', code, ran, retryAfterMs, detail }
}
