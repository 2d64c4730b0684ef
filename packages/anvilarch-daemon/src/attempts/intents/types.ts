/** Calls that run at most once under a key that their caller chose. */
import type { AnvilarchError, ErrorCode, RunStatus } from 'anvilarch-utils'
import type { Headers, WorkResult } from '../types'

/** One call with an `Idempotency-Key`. */
export interface KeyedCall {
  caller: string
  key: string
  requestId: string
  /** Hash of method, path and body; the same key with another hash is a conflict. */
  callHash: string
  /** Time that the call may take, from now. */
  timeoutMs: number
}

/** The recorded end of a call. */
export type RecordedEnd =
  | { kind: 'answer', status: number, headers: Headers, bodyBase64: string }
  | { kind: 'answer_too_large', status: number, sizeBytes: number }
  | { kind: 'error', code: ErrorCode, message: string, step: string, ran: RunStatus }

/** Value of a row `intent/<caller>/<key>`. */
export interface IntentRow {
  callHash: string
  requestId: string
  gateway: string
  /** Identity of this very intent, which differs between two calls under the same key. */
  intentId: string
  timeoutMs: number
  /** Wall time; it decides nothing but when the row is swept. */
  writtenAtMs: number
  /** Absent while the call may still be running. */
  end?: RecordedEnd
}

/** What a keyed call comes to. */
export type KeyedResult =
  | { kind: 'ran', result: WorkResult }
  | { kind: 'replayed', status: number, headers: Headers, body: Uint8Array }
  | { kind: 'refused', error: AnvilarchError }

/** Keeps the intents of one gateway. */
export interface IntentKeeper {
  /**
   * Records the intent, runs the call, and records its end; or answers from what is recorded.
   *
   * @param call - the call and its key
   * @param execute - runs it; called at most once
   * @returns what it came to; never rejects
   */
  run: (call: KeyedCall, execute: () => Promise<WorkResult>) => Promise<KeyedResult>
  /** Resolves when nothing is left to record. */
  idle: () => Promise<void>
}
