/** Rows of jobs, claims, members, results and saved progress, and their encoding. */
import { accountNameOf, type Caller } from '../accounts/types'
import type { RowKey, RowWrite, StoredRow } from '../store/types'
import { MEMBER_PARTITION, partitionOf } from './partitions'
import type { ClaimRecord, JobRecord, MemberRecord } from './types'

/** Jobs: followed by every daemon. */
export const JOB_TABLE = 'jobs'

/** Claims of items: followed by agents. They change five times as often as jobs. */
export const CLAIM_TABLE = 'claims'

/** Daemons: listed from time to time. Each changes every few seconds, so that a feed would wake every daemon for every other. */
export const MEMBER_TABLE = 'members'

/** Results and saved progress: read by key only, so that their bytes do not go to every daemon. */
export const OUTPUT_TABLE = 'output'

/** Accepted and waiting tokens by route and account. */
export const QUOTA_TABLE = 'quota'

const ITEM_DIGITS = 4

/** @returns key of the row by which an item is held, within its table */
export function claimRowKey (jobId: string, item: number): string {
  return itemKey('', jobId, item)
}

function itemKey (prefix: string, jobId: string, item: number): string {
  return `${prefix}${jobId}.${String(item).padStart(ITEM_DIGITS, '0')}`
}

/** Stands between the account and the client's id of a job; a name of an account is encoded so that it holds none. */
const ACCOUNT_SEPARATOR = '~'

/**
 * Two accounts may give their jobs the same id, and neither is to learn of the other's: ids in the store begin with the account.
 *
 * @param caller - who hands the job in or asks for it
 * @param clientJobId - as the client names the job
 * @returns id of the job in the store
 */
export function storedJobId (caller: Caller, clientJobId: string): string {
  if (caller.caller === 'unchecked') return clientJobId
  const account = encodeURIComponent(accountNameOf(caller) ?? '').replaceAll(ACCOUNT_SEPARATOR, '%7E')
  return account + ACCOUNT_SEPARATOR + clientJobId
}

/** @returns key of the job's row */
export function jobKey (jobId: string): RowKey {
  return { table: JOB_TABLE, partition: partitionOf(jobId), key: jobId }
}

/** @returns key of the row by which an item is held */
export function claimKey (jobId: string, item: number): RowKey {
  return { table: CLAIM_TABLE, partition: partitionOf(jobId), key: claimRowKey(jobId, item) }
}

/** @returns key of a daemon's row */
export function memberKey (name: string): RowKey {
  return { table: MEMBER_TABLE, partition: MEMBER_PARTITION, key: name }
}

/** @returns key of an item's result */
export function resultKey (jobId: string, item: number): RowKey {
  return { table: OUTPUT_TABLE, partition: partitionOf(jobId), key: itemKey('result.', jobId, item) }
}

/** @returns key of the text that an unfinished item has produced */
export function progressKey (jobId: string, item: number): RowKey {
  return { table: OUTPUT_TABLE, partition: partitionOf(jobId), key: itemKey('progress.', jobId, item) }
}

/** @returns name of the object that holds the items of a job */
export function submissionObject (jobId: string): string {
  return `job-${encodeURIComponent(jobId)}`
}

/** @returns name of the object that holds a result which is too large for a row */
export function resultObject (jobId: string, item: number): string {
  return `result-${encodeURIComponent(jobId)}-${item}`
}

/** @returns a row with the record as JSON */
export function encodeRecord (key: RowKey, record: JobRecord | ClaimRecord | MemberRecord): RowWrite {
  return { ...key, value: Buffer.from(JSON.stringify(record)) }
}

/**
 * @param row - as `encodeRecord` has made it
 * @returns the record; undefined when the bytes are not of this program
 */
export function decodeRecord<Record extends JobRecord | ClaimRecord | MemberRecord> (row: Pick<StoredRow, 'value'>): Record | undefined {
  return parse(row.value) as Record | undefined
}

/** Saved text of an unfinished item. */
export interface SavedProgress {
  lastEventId: number
  text: string
}

/** @returns the bytes of saved progress */
export function encodeProgress (progress: SavedProgress): Buffer {
  return Buffer.from(JSON.stringify(progress))
}

/** @returns saved progress as it was encoded; undefined when the bytes are none, so that the item is run from the start */
export function decodeProgress (value: Buffer): SavedProgress | undefined {
  const progress = parse(value) as Partial<SavedProgress> | null | undefined
  if (typeof progress?.text !== 'string' || !isEventId(progress.lastEventId)) return undefined
  return { lastEventId: progress.lastEventId, text: progress.text }
}

/** Nothing is saved before the first event. */
function isEventId (id: unknown): id is number {
  return Number.isInteger(id) && Number(id) > 0
}

function parse (value: Buffer): unknown {
  try {
    return JSON.parse(value.toString())
  } catch {
    // Only this program writes to its tables. Whatever wrote these bytes, they say nothing of its work.
    return undefined
  }
}
