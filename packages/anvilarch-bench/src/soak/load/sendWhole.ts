/** One HTTP call whose answer is read whole. */
import type { RunStatus } from 'anvilarch-utils'
import { errorResult } from '../../clients/requestResult'
import type { Told } from '../types'
import type { GatewayAddress, LoadContext } from './types'

/** One call. */
export interface WholeCall {
  method: 'GET' | 'POST'
  path: string
  headers?: Record<string, string>
  body?: string
  timeoutMs?: number
  signal?: AbortSignal
}

/** How it ended. */
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

/** Longer than every deadline of the soak, so that a call that hangs is told from one that was given up on. */
export const CALL_TIMEOUT_MS = 45_000

/**
 * @param context - clock and connections
 * @param gateway - to call
 * @param call - what to send
 * @returns how it ended; never rejects
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
  const { outcome, code, ran, retryAfterMs, detail } = errorResult(status, retryAfter, text, 0)
  return { told: outcome === 'refused' ? 'refused' : 'failed', code, ran, retryAfterMs, detail }
}
