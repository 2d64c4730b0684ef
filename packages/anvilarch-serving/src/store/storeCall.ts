/** Calls to the store and their outcomes. */

/** An encoded call to the store. */
export interface StoreCall {
  /** Name of the call in metrics. */
  name: string
  method: string
  path: string
  /** Alternating names and values. */
  headers: string[]
  body: Buffer | undefined
  timeoutMs: number
  /** Whether the store may delay its response. */
  isLongPoll?: boolean
  /** Time that the call has until its caller needs the response. It is also sent through peers within it. Set only for calls that may be executed twice. */
  repeatWithinMs?: number
  /** Aborts the call. Its outcome is then `no_answer`. */
  signal?: AbortSignal
}

/**
 * Outcome of a call. `not_done`: the call did not reach the store. `no_answer`: the call may have been executed, or may be executed later.
 * `readAfterPause`: this process was paused while the response waited to be read, so times in the response are outdated.
 */
export type StoreResponse =
  | { outcome: 'answered', status: number, body: Buffer, readAfterPause?: boolean }
  | { outcome: 'not_done', reason: string }
  | { outcome: 'no_answer', reason: string }

/** Sends a call to the store. */
export type StoreTransport = (call: StoreCall) => Promise<StoreResponse>

/** Statuses with which the store rejects a call without executing it. Their bodies are ignored. */
export const BUSY_STATUS = new Set([429, 503])

/** @returns whether the store has executed the call, or has refused it for what it contains */
export function isServed (response: StoreResponse): boolean {
  return response.outcome === 'answered' && !BUSY_STATUS.has(response.status)
}
