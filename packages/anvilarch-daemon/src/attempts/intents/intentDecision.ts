/** Decides the result of a call whose key is already in use, from the row of that key. Pure. */
import { AnvilarchError } from 'anvilarch-utils'
import type { IntentRow, KeyedCall, KeyedResult } from './types'

/** Time after the deadline of a call within which its gateway has finished all work on it. */
const SETTLE_MARGIN_MS = 5_000

/** Maximum Retry-After value for a call in progress. */
const MAX_RETRY_AFTER_MS = 5_000

/**
 * @param row - existing row
 * @param call - the call with the same key
 * @param sinceFirstReadMs - time since this gateway first read this intent, on its own clock
 * @returns the result of the call, which is never run
 */
export function decideFromRow (row: IntentRow, call: KeyedCall, sinceFirstReadMs: number): KeyedResult {
  if (row.callHash !== call.callHash) {
    return refuse(`Idempotency-Key "${call.key}" was used for another call (request ${row.requestId})`, { code: 'conflict', step: 'intents.compare' })
  }
  if (row.end !== undefined) return replay(row, call)
  const remainingMs = row.timeoutMs + SETTLE_MARGIN_MS - sinceFirstReadMs
  if (remainingMs > 0) {
    return refuse(`the call under Idempotency-Key "${call.key}" is in progress (request ${row.requestId})`, {
      code: 'conflict', step: 'intents.wait', peer: row.gateway, ran: 'unknown', retryAfterMs: Math.min(remainingMs, MAX_RETRY_AFTER_MS)
    })
  }
  return refuse(`what became of the call under Idempotency-Key "${call.key}" can't be learned: gateway "${row.gateway}" never recorded its end`, {
    code: 'outcome_unknown', step: 'intents.wait', peer: row.gateway, ran: 'unknown'
  })
}

function replay (row: IntentRow, call: KeyedCall): KeyedResult {
  const { end } = row
  if (end === undefined) throw new Error('a call without an end has nothing to replay')
  switch (end.kind) {
    case 'answer':
      return { kind: 'replayed', status: end.status, headers: end.headers, body: Buffer.from(end.bodyBase64, 'base64') }
    case 'answer_too_large':
      return refuse(`the call under Idempotency-Key "${call.key}" ran (status ${end.status}); its answer of ${end.sizeBytes} bytes was too large to be kept`, {
        code: 'conflict', step: 'intents.replay', peer: row.gateway, ran: 'ran'
      })
    case 'error':
      return refuse(end.message, { code: end.code, step: end.step, peer: row.gateway, ran: end.ran })
  }
}

function refuse (message: string, details: ConstructorParameters<typeof AnvilarchError>[1]): KeyedResult {
  return { kind: 'refused', error: new AnvilarchError(message, details) }
}
