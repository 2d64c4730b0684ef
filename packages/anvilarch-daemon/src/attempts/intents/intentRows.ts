/** Reads and writes the values of intent rows. */
import type { Headers, WorkResult } from '../types'
import type { IntentRow, RecordedEnd } from './types'

/** Maximum size of a response body stored in a row. */
export const MAX_RECORDED_BODY_BYTES = 16 * 1024

/** Headers that are stored and replayed. */
const RECORDED_HEADERS = ['content-type', 'location', 'etag']

/**
 * @param value - value of a row
 * @returns the intent, or undefined for text that this version can't read
 */
export function parseIntentRow (value: string): IntentRow | undefined {
  try {
    const row = JSON.parse(value) as Partial<IntentRow>
    return typeof row.callHash === 'string' && typeof row.timeoutMs === 'number' ? row as IntentRow : undefined
  } catch {
    return undefined
  }
}

/**
 * @param result - how the call ended
 * @returns the end to record, or undefined when the call did not run and its key is to be freed
 */
export function recordedEnd (result: WorkResult): RecordedEnd | undefined {
  if (result.outcome === 'failed') {
    const { code, message, step, ran } = result.error
    return ran === 'not_run' ? undefined : { kind: 'error', code, message, step, ran }
  }
  const { status, body } = result
  if (body.length > MAX_RECORDED_BODY_BYTES) return { kind: 'answer_too_large', status, sizeBytes: body.length }
  return { kind: 'answer', status, headers: recordedHeaders(result.headers), bodyBase64: Buffer.from(body).toString('base64') }
}

function recordedHeaders (headers: Headers): Headers {
  return Object.fromEntries(RECORDED_HEADERS.filter(name => name in headers).map(name => [name, headers[name]]))
}
