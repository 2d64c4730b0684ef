/** Interface to the metadata store: versioned rows, a feed of changes, and objects. */
import type { Moment } from 'anvilarch-utils'
import type { Result } from 'ts-results'

/** Location of a row. Rows of one partition can change in one transaction. */
export interface RowKey {
  table: string
  partition: string
  key: string
}

/** A row that was read. */
export interface StoredRow extends RowKey {
  value: Buffer
  /** Version of the transaction that wrote the row. */
  version: number
}

/** A row to write. */
export interface RowWrite extends RowKey {
  value: Buffer
}

/** A condition on the version of a row, without which a transaction is not applied. */
export interface RowCondition extends RowKey {
  /** 0 requires that the row does not exist. */
  version: number
}

/** An atomic change. All rows are in one partition. */
export interface Transaction {
  conditions: RowCondition[]
  puts: RowWrite[]
  removes: RowKey[]
}

/**
 * Outcome of a transaction. `refused`: it was not applied. `unknown`: it may have been applied,
 * or may be applied seconds later if its conditions still hold.
 */
export type TransactionOutcome =
  | { outcome: 'committed', version: number }
  | { outcome: 'conflict', rows: StoredRow[] }
  | { outcome: 'refused', reason: string }
  | { outcome: 'unknown', reason: string }

/** Reason of a failure when the calls of all daemons exceed the rate limit of the store. */
export const OVER_RATE_REASON = 'over_rate'

/** Reason of a failed read. */
export interface StoreFailure {
  reason: string
}

/** Rows at one point in time. */
export interface RowsRead {
  rows: StoredRow[]
  /** Newest version of the store at that time. */
  version: number
  /** The earliest local time at which the store can have made the response; undefined if only the time of the call bounds it. */
  madeAt?: Moment
}

/** A change in a feed. */
export type RowChange =
  | { change: 'put', row: StoredRow }
  | { change: 'removed', key: RowKey, version: number }

/** Changes after a version, and when the store made the response, as in `RowsRead`. `history_lost`: the store no longer retains all of them. */
export type FeedRead =
  | { outcome: 'changes', changes: RowChange[], version: number, madeAt?: Moment }
  | { outcome: 'history_lost' }

/** Outcome of writing an object. */
export type ObjectWriteOutcome = 'stored' | 'exists' | 'refused' | 'unknown'

/** A range of keys in one partition. `to` is exclusive. */
export interface RowRange {
  table: string
  partition: string
  from?: string
  to?: string
}

/** Options of a call. */
export interface StoreCallOptions {
  /** Time that the call has until its caller needs the response. It is also sent through peers within it. Set only for calls that may be executed twice. */
  repeatWithinMs?: number
}

/** Client of the metadata store. */
export interface MetadataStore {
  /** Timeout of a call about rows, in milliseconds, beyond the wait that the call requests. */
  readonly callTimeoutMs: number
  commit: (transaction: Transaction, options?: StoreCallOptions) => Promise<TransactionOutcome>
  readRows: (range: RowRange, options?: StoreCallOptions) => Promise<Result<RowsRead, StoreFailure>>
  readFeed: (table: string, afterVersion: number, waitMs: number) => Promise<Result<FeedRead, StoreFailure>>
  /** Writes an object unless it already exists. */
  writeObject: (name: string, bytes: Buffer, options?: StoreCallOptions) => Promise<ObjectWriteOutcome>
  /** @returns the bytes; undefined if the object does not exist */
  readObject: (name: string) => Promise<Result<Buffer | undefined, StoreFailure>>
  /** @returns whether the object is known not to exist any more */
  removeObject: (name: string) => Promise<boolean>
  /** @returns estimate of the store's monotonic clock, in milliseconds; undefined before its first response */
  storeNowMs: () => number | undefined
  /** @returns local time of the last call that failed because the store did not serve it; undefined if none has */
  lastFailureMs: () => number | undefined
  /** @returns time from the first to the last call of the latest run of consecutive failures, in milliseconds */
  lastOutageMs: () => number
  /** @returns time since the store made the latest response, with the time for which this host was suspended; `Infinity` before the first */
  answerAgeMs: () => number
}

/** Limit on the size of a row, in bytes before encoding. */
export interface StoreLimits {
  maxRowBytes: number
}
