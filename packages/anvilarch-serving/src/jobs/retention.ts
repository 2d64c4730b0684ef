/** Removes jobs after the retention period of their results, since the store's space for objects is bounded. */
import type { RowKey } from '../store/types'
import { isClosed } from './jobRecord'
import { claimKey, jobKey, progressKey, resultKey, resultObject, submissionObject } from './jobRows'
import type { JobParts } from './jobStore'
import type { JobRecord } from './types'
import type { EventLog } from '../telemetry/events'

/** Results are kept for this multiple of the promised retention, so that slow readers still find them. */
const RETENTION_FACTOR = 1.5

/** Rows removed by one transaction, which holds at most 100 entries. */
const MAX_REMOVES = 90

/**
 * @param job - row of the job
 * @param storeNowMs - current store time
 * @param retentionMs - promised retention of results, counted from the submission
 * @returns whether the job may be removed
 */
export function isPastRetention (job: JobRecord, storeNowMs: number, retentionMs: number): boolean {
  return isClosed(job) && storeNowMs - job.submittedAtMs > RETENTION_FACTOR * retentionMs
}

/**
 * Removes a job: objects and results first, its row last, so that an interrupted removal is resumed later.
 *
 * @param parts - store and local cache
 * @param job - a job past its retention
 * @param log - log for the removal
 * @returns whether the job has been removed completely
 */
export async function removeJob (parts: JobParts, job: JobRecord, log: EventLog): Promise<boolean> {
  const items = job.itemIds.map((_, item) => item)
  for (const item of items) {
    const large = await parts.store.readRows({ ...resultKey(job.jobId, item), from: resultKey(job.jobId, item).key, to: resultKey(job.jobId, item).key + '\u0001' })
    if (large.err) return false
    const isObject = large.val.rows.some(row => row.value.length === 1 && row.value[0] === 0xff)
    if (isObject && !await parts.store.removeObject(resultObject(job.jobId, item))) return false
  }
  const keys = items.flatMap(item => [resultKey(job.jobId, item), progressKey(job.jobId, item), claimKey(job.jobId, item)])
  for (let from = 0; from < keys.length; from += MAX_REMOVES) {
    if (!await removeRows(parts, keys.slice(from, from + MAX_REMOVES))) return false
  }
  if (!await parts.store.removeObject(submissionObject(job.jobId))) return false
  const removed = await removeRows(parts, [jobKey(job.jobId)])
  if (removed) log.info('job removed after its retention', { jobId: job.jobId })
  return removed
}

async function removeRows (parts: JobParts, keys: RowKey[]): Promise<boolean> {
  const outcome = await parts.store.commit({ conditions: [], puts: [], removes: keys })
  if (outcome.outcome !== 'committed') return false
  for (const key of keys) parts.work.remove(key, outcome.version)
  return true
}
