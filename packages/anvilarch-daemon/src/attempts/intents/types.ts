/** Calls that run at most once per key chosen by their caller. */
import type { AnvilarchError, ErrorCode, RunStatus } from 'anvilarch-utils'
import type { Headers, WorkResult } from '../types'

/** One call with an `Idempotency-Key`. */
export interface KeyedCall {
  caller: string
  key: string
  requestId: string
  /** Hash of method, path and body; the same key with another hash is a conflict. */
  callHash: string
  /** Time allowed for the call, from now. */
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
  /** Id of this intent, which differs between two calls with the same key. */
  intentId: string
  timeoutMs: number
  /** Wall-clock time, used only to expire the row. */
  writtenAtMs: number
  /** Absent while the call may still be running. */
  end?: RecordedEnd
}

/** Result of a keyed call. */
export type KeyedResult =
  | { kind: 'ran', result: WorkResult }
  | { kind: 'replayed', status: number, headers: Headers, body: Uint8Array }
  | { kind: 'refused', error: AnvilarchError }

/** Runs the keyed calls of one gateway. */
export interface KeyedCallRunner {
  /**
   * Records the intent, runs the call and records its end, or replays a recorded end.
   *
   * @param call - the call and its key
   * @param execute - runs the call; invoked at most once
   * @returns the result; never rejects
   */
  run: (call: KeyedCall, execute: () => Promise<WorkResult>) => Promise<KeyedResult>
  /** Resolves when no write is pending. */
  idle: () => Promise<void>
}
