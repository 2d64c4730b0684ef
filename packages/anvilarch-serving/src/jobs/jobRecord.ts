/** State changes of a job, as pure functions of its row. */
import type { ItemOutcome, JobItem, JobRecord } from './types'

/** Attributes of a new job other than its items. */
export interface JobTerms {
  jobId: string
  /** Client account of the job, if callers need keys. */
  account: string | undefined
  host: string
  path: string
  nowMs: number
  dueMs: number
  expiryMs: number
  maxAttempts: number
}

/**
 * @param items - as submitted
 * @param terms - route and time of the submission
 * @returns the initial row of the job
 */
export function createJobRecord (items: readonly JobItem[], terms: JobTerms): JobRecord {
  return {
    jobId: terms.jobId,
    account: terms.account,
    host: terms.host,
    path: terms.path,
    submittedAtMs: terms.nowMs,
    dueAtMs: terms.nowMs + terms.dueMs,
    expiresAtMs: terms.nowMs + terms.expiryMs,
    maxAttempts: terms.maxAttempts,
    itemIds: items.map(item => item.id),
    itemTokens: items.map(item => item.tokens),
    listed: [],
    failures: {},
    ended: false
  }
}

/** @returns whether the item already has an outcome */
export function isFinished (job: JobRecord, item: number): boolean {
  return job.listed.some(entry => entry.item === item)
}

/** @returns indexes of the items without an outcome; none once the job has ended */
export function openItems (job: JobRecord): number[] {
  if (job.ended) return []
  const listed = new Set(job.listed.map(entry => entry.item))
  return job.itemIds.map((_, item) => item).filter(item => !listed.has(item))
}

/** @returns whether no item is left to run */
export function isClosed (job: JobRecord): boolean {
  return job.ended || job.listed.length >= job.itemIds.length
}

/** @returns tokens of the items that are waiting or running */
export function waitingTokens (job: JobRecord): number {
  return openItems(job).reduce((sum, item) => sum + job.itemTokens[item], 0)
}

/**
 * Appends an item's outcome to the listed items.
 *
 * @param job - the row as read
 * @param item - index of the item
 * @param outcome - outcome of the item
 * @returns the next row, or undefined when the job has ended or the item already has an outcome
 */
export function recordOutcome (job: JobRecord, item: number, outcome: ItemOutcome): JobRecord | undefined {
  if (job.ended || isFinished(job, item)) return undefined
  return { ...job, listed: [...job.listed, { item, outcome }] }
}

/**
 * Counts a failed attempt, and gives the item up after the last allowed attempt.
 *
 * @param job - the row as read
 * @param item - index of the item
 * @returns the next row, or undefined when the item is no longer open
 */
export function countFailure (job: JobRecord, item: number): JobRecord | undefined {
  if (job.ended || isFinished(job, item)) return undefined
  const failures = (job.failures[item] ?? 0) + 1
  const counted = { ...job, failures: { ...job.failures, [item]: failures } }
  return failures >= job.maxAttempts ? recordOutcome(counted, item, 'dead_letter') : counted
}

/** @returns the row of the job after a client has ended it */
export function endJob (job: JobRecord): JobRecord {
  return { ...job, ended: true }
}

/** @returns whether the items of the job have expired and may be given up */
export function isExpired (job: Pick<JobRecord, 'expiresAtMs'>, storeNowMs: number): boolean {
  return storeNowMs > job.expiresAtMs
}
