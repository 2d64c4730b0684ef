/** The metadata store as the serving core needs it: rows under versions, a feed of changes, and objects. */
import type { Result } from 'ts-results'

/** Where a row lies. Rows of one partition change together. */
export interface RowKey {
  table: string
  partition: string
  key: string
}

/** A row as read. */
export interface StoredRow extends RowKey {
  value: Buffer
  /** Version of the transaction that wrote the row. */
  version: number
}

/** A row that a transaction writes. */
export interface RowWrite extends RowKey {
  value: Buffer
}

/** What must hold of a row for a transaction to apply. */
export interface RowCondition extends RowKey {
  /** 0 means that the row must not exist. */
  version: number
}

/** Applied as a whole or not at all. All rows lie in one partition. */
export interface Transaction {
  conditions: RowCondition[]
  puts: RowWrite[]
  removes: RowKey[]
}

/**
 * How a transaction ended. `refused`: nothing was done. `unknown`: it may have been done,
 * or may be done seconds later if its conditions still hold.
 */
export type TransactionOutcome =
  | { outcome: 'committed', version: number }
  | { outcome: 'conflict', rows: StoredRow[] }
  | { outcome: 'refused', reason: string }
  | { outcome: 'unknown', reason: string }

/** Reason of a failure when the calls of all daemons are beyond the rate that the store takes. */
export const OVER_RATE_REASON = 'over_rate'

/** Why a read gave nothing. */
export interface StoreFailure {
  reason: string
}

/** Rows as of one moment. */
export interface RowsRead {
  rows: StoredRow[]
  /** Newest version of the store at that moment. */
  version: number
}

/** A change in a feed. */
export type RowChange =
  | { change: 'put', row: StoredRow }
  | { change: 'removed', key: RowKey, version: number }

/** Changes after a version, or word that the store no longer has them. */
export type FeedRead =
  | { outcome: 'changes', changes: RowChange[], version: number }
  | { outcome: 'history_lost' }

/** How the writing of an object ended. */
export type ObjectWriteOutcome = 'stored' | 'exists' | 'refused' | 'unknown'

/** A range of keys in one partition; `to` is excluded. */
export interface RowRange {
  table: string
  partition: string
  from?: string
  to?: string
}

/** The client of the store. */
export interface MetadataStore {
  /** How long a call about rows is waited for, beyond the time for which it asks the store to wait. */
  readonly callTimeoutMs: number
  commit: (transaction: Transaction) => Promise<TransactionOutcome>
  readRows: (range: RowRange) => Promise<Result<RowsRead, StoreFailure>>
  readFeed: (table: string, afterVersion: number, waitMs: number) => Promise<Result<FeedRead, StoreFailure>>
  /** Writes an object unless it exists. */
  writeObject: (name: string, bytes: Buffer) => Promise<ObjectWriteOutcome>
  /** @returns the bytes, or undefined when there is no such object */
  readObject: (name: string) => Promise<Result<Buffer | undefined, StoreFailure>>
  removeObject: (name: string) => Promise<boolean>
  /** Estimate of the store's steady clock; undefined before its first answer. */
  storeNowMs: () => number | undefined
  /** When a call last failed for lack of the store, on the local clock; undefined if never. */
  lastFailureMs: () => number | undefined
  /** From the first to the last of the latest calls that failed one after another. */
  lastOutageMs: () => number
  /** When a call last succeeded, on the local clock; undefined if never. */
  lastSuccessMs: () => number | undefined
}

/** The largest row that is written, in bytes before encoding. */
export interface StoreLimits {
  maxRowBytes: number
}
