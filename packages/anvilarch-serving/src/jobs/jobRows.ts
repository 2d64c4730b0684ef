/** Rows of jobs, claims, members, results and saved progress, and their encoding. */
import type { RowKey, RowWrite } from '../store/types'
import { MEMBER_PARTITION, partitionOf } from './partitions'
import type { ClaimRecord, JobRecord, MemberRecord } from './types'

/** Jobs, claims and members: followed by every daemon. */
export const WORK_TABLE = 'work'

/** Results and saved progress: read by key only, so that their bytes do not go to every daemon. */
export const OUTPUT_TABLE = 'output'

/** Accepted and waiting tokens by route. */
export const QUOTA_TABLE = 'quota'

const JOB_PREFIX = 'job.'
const CLAIM_PREFIX = 'claim.'
const ITEM_DIGITS = 4

function itemKey (prefix: string, jobId: string, item: number): string {
  return `${prefix}${jobId}.${String(item).padStart(ITEM_DIGITS, '0')}`
}

/** @returns key of the job's row */
export function jobKey (jobId: string): RowKey {
  return { table: WORK_TABLE, partition: partitionOf(jobId), key: JOB_PREFIX + jobId }
}

/** @returns key of the row by which an item is held */
export function claimKey (jobId: string, item: number): RowKey {
  return { table: WORK_TABLE, partition: partitionOf(jobId), key: itemKey(CLAIM_PREFIX, jobId, item) }
}

/** @returns key of a daemon's row */
export function memberKey (name: string): RowKey {
  return { table: WORK_TABLE, partition: MEMBER_PARTITION, key: name }
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
export function recordRow (key: RowKey, record: JobRecord | ClaimRecord | MemberRecord): RowWrite {
  return { ...key, value: Buffer.from(JSON.stringify(record)) }
}

/** A row of the work table, by what it tells. */
export type WorkRow =
  | { kind: 'job', record: JobRecord }
  | { kind: 'claim', record: ClaimRecord }
  | { kind: 'member', record: MemberRecord }

/**
 * @param key - where the row lies
 * @param value - its bytes
 * @returns the decoded row; undefined when the bytes are not of this program
 */
export function decodeWorkRow (key: RowKey, value: Buffer): WorkRow | undefined {
  const kind = workRowKind(key)
  if (kind === undefined) return undefined
  try {
    return { kind, record: JSON.parse(value.toString()) } as WorkRow
  } catch {
    return undefined
  }
}

/** @returns what a row of the work table tells, by its key */
export function workRowKind (key: RowKey): WorkRow['kind'] | undefined {
  if (key.partition === MEMBER_PARTITION) return 'member'
  if (key.key.startsWith(JOB_PREFIX)) return 'job'
  return key.key.startsWith(CLAIM_PREFIX) ? 'claim' : undefined
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

/** @returns saved progress as it was encoded */
export function decodeProgress (value: Buffer): SavedProgress {
  return JSON.parse(value.toString()) as SavedProgress
}
