/** Claims, saves and releases items. The version of the claim's row fences every write about the item. */
import { claimKey, encodeProgress, jobKey, progressKey, encodeRecord, resultKey, resultObject, type SavedProgress, decodeProgress } from '../jobs/jobRows'
import { countFailure, recordOutcome, openItems } from '../jobs/jobRecord'
import { changeJob, type ChangeOutcome, type JobParts, updateFromConflict } from '../jobs/jobStore'
import { OBJECT_MARK } from '../jobs/resultReader'
import type { ClaimRecord, ItemOutcome, JobRecord } from '../jobs/types'
import type { WorkTable } from '../jobs/workTable'
import type { RowWrite } from '../store/types'

/** Identity of a runner. */
export interface RunnerIdentity {
  runner: string
  incarnation: string
}

/** Dependencies of claims. */
export interface ClaimParts extends JobParts, RunnerIdentity {
  work: WorkTable
  maxRowBytes: number
}

/** Share of the row size limit up to which rows are filled; the limit counts the value alone. */
const MAX_ROW_FILL = 0.95

/** Time limit for one change of a job; its caller then checks again whether the change still applies. */
const CHANGE_TIMEOUT_MS = 2000

/** @returns the version of the claim if this runner holds it; undefined otherwise */
export function ownClaimVersion (parts: ClaimParts, jobId: string, item: number): number | undefined {
  const claim = parts.work.claim(jobId, item)
  if (claim === undefined || !claim.record.held) return undefined
  if (claim.record.runner !== parts.runner || claim.record.incarnation !== parts.incarnation) return undefined
  return claim.version
}

/**
 * Claims an item. The version of the job's row is a condition too, because an item of an ended job must not start.
 *
 * @param parts - store and identity
 * @param jobId - id of the job
 * @param item - index of the item
 * @returns whether this runner now holds the claim
 */
export async function claimItem (parts: ClaimParts, jobId: string, item: number): Promise<boolean> {
  const first = await tryClaim(parts, jobId, item)
  if (first !== 'conflict') return first === 'claimed'
  // The local copies lag behind the store, and the conflict has updated them. Nearly always another item of the job has ended.
  const job = parts.work.job(jobId)?.record
  const claimedByOther = parts.work.claim(jobId, item)?.record.held === true
  if (job === undefined || claimedByOther || !openItems(job).includes(item)) return false
  return await tryClaim(parts, jobId, item) === 'claimed'
}

/** `conflict`: the local copies were out of date, and are now updated from the store. */
type ClaimResult = 'claimed' | 'conflict' | 'not_claimed'

async function tryClaim (parts: ClaimParts, jobId: string, item: number): Promise<ClaimResult> {
  const job = parts.work.job(jobId)
  if (job === undefined) return 'not_claimed'
  const previous = parts.work.claim(jobId, item)
  const record: ClaimRecord = {
    jobId, item, runner: parts.runner, incarnation: parts.incarnation, held: true, savedEventId: previous?.record.savedEventId ?? 0
  }
  const conditions = [
    { ...jobKey(jobId), version: job.version },
    { ...claimKey(jobId, item), version: parts.work.claimVersion(jobId, item) }
  ]
  return await writeClaim(parts, record, conditions, [])
}

/**
 * Saves the text of a running item, so that the loss of this process costs only a resume. The claim is not written, because its
 * row is sent to all agents.
 *
 * @param parts - store and identity
 * @param jobId - id of the job
 * @param item - index of the item
 * @param progress - text so far
 * @returns whether the store accepted the write
 */
export async function saveProgress (parts: ClaimParts, jobId: string, item: number, progress: SavedProgress): Promise<boolean> {
  const version = ownClaimVersion(parts, jobId, item)
  const row = progressRow(parts, jobId, item, progress)
  if (version === undefined || row === undefined) return false
  const conditions = [{ ...claimKey(jobId, item), version }]
  const outcome = await parts.store.commit({ conditions, puts: [row], removes: [] })
  if (outcome.outcome === 'conflict') updateFromConflict(parts, conditions, outcome.rows)
  return outcome.outcome === 'committed'
}

/**
 * Releases an item and saves its text.
 *
 * @param parts - store and identity
 * @param jobId - id of the job
 * @param item - index of the item
 * @param progress - text so far; undefined keeps the saved text
 * @returns whether the store accepted the write
 */
export async function releaseClaim (parts: ClaimParts, jobId: string, item: number, progress: SavedProgress | undefined): Promise<boolean> {
  const version = ownClaimVersion(parts, jobId, item)
  const current = parts.work.claim(jobId, item)
  if (version === undefined || current === undefined) return false
  const row = progress === undefined ? undefined : progressRow(parts, jobId, item, progress)
  const savedEventId = row === undefined ? current.record.savedEventId : progress?.lastEventId ?? 0
  const record: ClaimRecord = { ...current.record, held: false, savedEventId }
  return await writeClaim(parts, record, [{ ...claimKey(jobId, item), version }], row === undefined ? [] : [row]) === 'claimed'
}

/** @returns the row; undefined when the text is too large for a row */
function progressRow (parts: ClaimParts, jobId: string, item: number, progress: SavedProgress): RowWrite | undefined {
  const value = encodeProgress(progress)
  return value.length <= parts.maxRowBytes * MAX_ROW_FILL ? { ...progressKey(jobId, item), value } : undefined
}

/** @returns the saved text, or undefined when there is none or it cannot be read now */
export async function readProgress (parts: ClaimParts, jobId: string, item: number): Promise<SavedProgress | undefined> {
  const key = progressKey(jobId, item)
  const read = await parts.store.readRows({ ...key, from: key.key, to: key.key + '\u0001' })
  if (read.err) return undefined
  const row = read.val.rows.find(candidate => candidate.key === key.key)
  return row === undefined ? undefined : decodeProgress(row.value)
}

/**
 * Ends an item and assigns its position among the results of the job. The text and the position are written together.
 *
 * @param parts - store and identity
 * @param jobId - id of the job
 * @param item - index of the item
 * @param outcome - how the item ended
 * @param text - the whole output of a completed item
 * @returns how the change ended; `not_applicable` when this runner no longer holds the claim
 */
export async function finishItem (parts: ClaimParts, jobId: string, item: number, outcome: ItemOutcome, text: string): Promise<ChangeOutcome> {
  const stored = outcome === 'completed' ? await resultRow(parts, jobId, item, text) : undefined
  if (stored === 'refused') return 'refused'
  return await changeOwnItem(parts, jobId, item, job => recordOutcome(job, item, outcome), stored)
}

/** A transaction takes two entries for the job and up to two for each item, of the 100 that the store allows. */
const MAX_ITEMS_PER_TRANSACTION = 45

/**
 * Lists waiting items as dead letters, in one transaction and without a claim, so that no claim is left behind when it gets no answer.
 * It depends on the rows of the claims, so that it lists no item that a runner has claimed meanwhile.
 *
 * @param parts - store and local cache
 * @param jobId - id of the job
 * @param waitingItems - selects the items to give up; called again after a conflict
 * @returns how the change ended; `not_applicable` when there is no item to give up
 */
export async function giveUpItems (parts: ClaimParts, jobId: string, waitingItems: (job: JobRecord) => number[]): Promise<ChangeOutcome> {
  return await changeJob(parts, jobId, job => {
    const items = waitingItems(job).slice(0, MAX_ITEMS_PER_TRANSACTION)
    if (items.length === 0) return undefined
    const claims = items.map(item => ({ ...claimKey(jobId, item), version: parts.work.claimVersion(jobId, item) }))
    return {
      next: items.reduce((next, item) => recordOutcome(next, item, 'dead_letter') ?? next, job),
      conditions: claims,
      removes: claims.filter(claim => claim.version > 0).map(({ version, ...key }) => key)
    }
  }, parts.clock.nowMs() + CHANGE_TIMEOUT_MS)
}

/** Counts a failed attempt and removes the claim. */
export async function failItem (parts: ClaimParts, jobId: string, item: number): Promise<ChangeOutcome> {
  return await changeOwnItem(parts, jobId, item, job => countFailure(job, item), undefined)
}

async function changeOwnItem (
  parts: ClaimParts, jobId: string, item: number, change: (job: Parameters<typeof recordOutcome>[0]) => ReturnType<typeof recordOutcome>, extra: RowWrite | undefined
): Promise<ChangeOutcome> {
  return await changeJob(parts, jobId, job => {
    const next = change(job)
    const version = ownClaimVersion(parts, jobId, item)
    if (next === undefined || version === undefined) return undefined
    return {
      next,
      conditions: [{ ...claimKey(jobId, item), version }],
      puts: extra === undefined ? [] : [extra],
      removes: [claimKey(jobId, item)]
    }
  }, parts.clock.nowMs() + CHANGE_TIMEOUT_MS)
}

async function resultRow (parts: ClaimParts, jobId: string, item: number, text: string): Promise<RowWrite | 'refused'> {
  const bytes = Buffer.from(text)
  if (bytes.length <= parts.maxRowBytes * MAX_ROW_FILL) return { ...resultKey(jobId, item), value: bytes }
  const written = await parts.store.writeObject(resultObject(jobId, item), bytes)
  return written === 'stored' || written === 'exists' ? { ...resultKey(jobId, item), value: OBJECT_MARK } : 'refused'
}

async function writeClaim (parts: ClaimParts, record: ClaimRecord, conditions: Array<ReturnType<typeof claimKey> & { version: number }>, puts: RowWrite[]): Promise<ClaimResult> {
  const row = encodeRecord(claimKey(record.jobId, record.item), record)
  const outcome = await parts.store.commit({ conditions, puts: [row, ...puts], removes: [] })
  if (outcome.outcome === 'committed') {
    parts.work.update({ ...row, version: outcome.version })
    return 'claimed'
  }
  if (outcome.outcome !== 'conflict') return 'not_claimed'
  updateFromConflict(parts, conditions, outcome.rows)
  return 'conflict'
}
