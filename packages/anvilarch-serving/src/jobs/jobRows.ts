/** Keys and encoding of the rows of jobs, claims, members, results and saved progress. */
import { Err, Ok, type Result } from 'ts-results'
import { accountNameOf, type Caller } from '../accounts/types'
import {
  decodeChecked, isCount, isDurationMs, isFiniteNumber, isFlag, isName, isSocketAddress, isStoreTimeMs, isString, listOf, mapOf, oneOf, optional,
  type RecordChecks, rowProblem, type RowProblem
} from '../store/rowValues'
import type { RowKey, RowWrite, StoredRow } from '../store/types'
import { MEMBER_PARTITION, partitionOf } from './partitions'
import type { ClaimRecord, FinishedItem, JobRecord, MemberRecord } from './types'

/** Jobs. Agents follow this table; gateways read it. */
export const JOB_TABLE = 'jobs'

/** Claims of items. Agents follow this table; its rows change five times as often as those of jobs. */
export const CLAIM_TABLE = 'claims'

/** Daemons. Listed at intervals: each row changes every few seconds, so a feed would wake every daemon for each change. */
export const MEMBER_TABLE = 'members'

/** Results and saved progress. Read by key only, so that their bytes are not sent to every daemon. */
export const OUTPUT_TABLE = 'output'

/** Reservations of waiting tokens by route and account. */
export const QUOTA_TABLE = 'quota'

const ITEM_DIGITS = 4

/** @returns key of the row by which an item is claimed, within its table */
export function claimRowKey (jobId: string, item: number): string {
  return itemKey('', jobId, item)
}

function itemKey (prefix: string, jobId: string, item: number): string {
  return `${prefix}${jobId}.${String(item).padStart(ITEM_DIGITS, '0')}`
}

/** Separates the account from the client's job id. Account names are encoded so that they do not contain it. */
const ACCOUNT_SEPARATOR = '~'

/**
 * Returns the id of a job in the store. It begins with the account, since two accounts may use the same job id and neither
 * may see the other's job.
 *
 * @param caller - the caller that submits or requests the job
 * @param clientJobId - the job id that the client uses
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

/** @returns key of the row by which an item is claimed */
export function claimKey (jobId: string, item: number): RowKey {
  return { table: CLAIM_TABLE, partition: partitionOf(jobId), key: claimRowKey(jobId, item) }
}

/** @returns key of a daemon's heartbeat row */
export function memberKey (name: string): RowKey {
  return { table: MEMBER_TABLE, partition: MEMBER_PARTITION, key: name }
}

/** @returns key of an item's result */
export function resultKey (jobId: string, item: number): RowKey {
  return { table: OUTPUT_TABLE, partition: partitionOf(jobId), key: itemKey('result.', jobId, item) }
}

/** @returns key of the saved progress of an unfinished item */
export function progressKey (jobId: string, item: number): RowKey {
  return { table: OUTPUT_TABLE, partition: partitionOf(jobId), key: itemKey('progress.', jobId, item) }
}

/** @returns name of the object that holds the items of a job */
export function submissionObject (jobId: string): string {
  return `job-${encodeURIComponent(jobId)}`
}

/** @returns name of the object that holds a result too large for a row */
export function resultObject (jobId: string, item: number): string {
  return `result-${encodeURIComponent(jobId)}-${item}`
}

/** @returns a row that holds the record as JSON */
export function encodeRecord (key: RowKey, record: JobRecord | ClaimRecord | MemberRecord): RowWrite {
  return { ...key, value: Buffer.from(JSON.stringify(record)) }
}

/** The ids of jobs are compared with the keys of their rows. Whatever a client may submit has to pass. */
const JOB_CHECKS: RecordChecks<JobRecord> = {
  jobId: isString,
  account: optional(isString),
  host: isString,
  path: isString,
  submittedAtMs: isFiniteNumber,
  dueAtMs: isFiniteNumber,
  expiresAtMs: isFiniteNumber,
  maxAttempts: isFiniteNumber,
  itemIds: listOf(isString),
  itemTokens: listOf(isFiniteNumber),
  listed: listOf(isFinishedItem),
  failures: mapOf(isCount),
  ended: isFlag
}

const CLAIM_CHECKS: RecordChecks<ClaimRecord> = {
  jobId: isString,
  item: isCount,
  runner: isString,
  incarnation: isString,
  held: isFlag,
  savedEventId: isCount
}

const MEMBER_CHECKS: RecordChecks<MemberRecord> = {
  name: isName,
  role: oneOf('gateway', 'agent'),
  incarnation: isName,
  peerAddress: isSocketAddress,
  failureDomain: isString,
  aliveUntilMs: isStoreTimeMs,
  eventMs: optional(isDurationMs),
  knownSinceMs: optional(isStoreTimeMs)
}

function isFinishedItem (value: unknown): boolean {
  const { item, outcome } = (value ?? {}) as Partial<FinishedItem>
  return isCount(item) && (outcome === 'completed' || outcome === 'dead_letter')
}

/** @returns the job of a row, or why the row describes none */
export function decodeJob (row: EncodedRow): Result<JobRecord, RowProblem> {
  return decodeChecked(row.value, JOB_CHECKS).andThen(job => {
    if (job.jobId !== row.key) return Err(rowProblem('jobId', 'is not the key of the row'))
    if (job.itemTokens.length !== job.itemIds.length) return Err(rowProblem('itemTokens', 'does not have an entry for each item'))
    if (job.listed.some(({ item }) => item >= job.itemIds.length)) return Err(rowProblem('listed', 'names an item that does not exist'))
    return Ok(job)
  })
}

/** @returns the claim of a row, or why the row describes none */
export function decodeClaim (row: EncodedRow): Result<ClaimRecord, RowProblem> {
  return decodeChecked(row.value, CLAIM_CHECKS).andThen(claim =>
    claimRowKey(claim.jobId, claim.item) === row.key ? Ok(claim) : Err(rowProblem('item', 'is not the item of the key')))
}

/** @returns the daemon of a row, or why the row describes none */
export function decodeMember (row: EncodedRow): Result<MemberRecord, RowProblem> {
  return decodeChecked(row.value, MEMBER_CHECKS).andThen(member =>
    member.name === row.key ? Ok(member) : Err(rowProblem('name', 'is not the key of the row')))
}

type EncodedRow = Pick<StoredRow, 'key' | 'value'>

/** Saved text of an unfinished item. */
export interface SavedProgress {
  lastEventId: number
  text: string
  /** Software version of the engines that produced the text. */
  softwareVersion: string | undefined
}

/** @returns the encoded progress */
export function encodeProgress (progress: SavedProgress): Buffer {
  return Buffer.from(JSON.stringify(progress))
}

/** @returns the decoded progress; undefined when the bytes cannot be decoded, so that the item is run from the start */
export function decodeProgress (value: Buffer): SavedProgress | undefined {
  const decoded = decodeChecked(value, PROGRESS_CHECKS)
  if (decoded.err) return undefined
  const { lastEventId, text, softwareVersion } = decoded.val
  return { lastEventId, text, softwareVersion: typeof softwareVersion === 'string' ? softwareVersion : undefined }
}

/** The version does not decide whether the text can be used: without one that is known, the item is run from the start. */
const PROGRESS_CHECKS: RecordChecks<SavedProgress> = {
  lastEventId: isEventId,
  text: isString,
  softwareVersion: () => true
}

/** Ids of saved events start at 1, since nothing is saved before the first event. */
function isEventId (id: unknown): boolean {
  return isCount(id) && Number(id) > 0
}
