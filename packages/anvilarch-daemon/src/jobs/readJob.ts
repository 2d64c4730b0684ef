/** Reads jobs and counts their finished items for responses to callers. */
import { ROW_KEYS, type Row } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'
import { LRUCache } from 'lru-cache'
import type { DaemonContext } from '../context'
import type { ShownState } from './apiObjects'
import { type ItemCounts, type JobRow, type JobState, parseRow, type PartRow } from './rows'

/**
 * Counts of a job in progress are cached this long. Clients poll, and a large job has many part rows: its counts are cached
 * longer, so that a polled job costs the table at most about one read a second on each gateway.
 */
const COUNTS_MAX_AGE_MS = 2_000
const COUNTS_MAX_AGE_MS_PER_PART = 10
const CACHED_JOBS = 1_000
const PART_PAGE = 200

/** A job and the version of its row. */
export interface VersionedJob {
  job: JobRow
  version: number
}

/** Reads jobs. */
export interface JobReader {
  /**
   * @returns the job
   * @throws AnvilarchError with code `not_found` when the caller has no such job
   */
  read: (caller: string, jobId: string, signal?: AbortSignal) => Promise<VersionedJob>
  counts: (job: JobRow, signal?: AbortSignal) => Promise<ItemCounts>
}

/** Counts and the time of their reading. */
interface CachedCounts {
  counts: ItemCounts
  state: JobState
  readMs: number
}

/**
 * @param context - shared parts of the daemon
 * @returns a reader with an empty cache of counts
 */
export function createJobReader (context: DaemonContext): JobReader {
  const { clock, platform } = context
  const cache = new LRUCache<string, CachedCounts>({ max: CACHED_JOBS })

  const countParts = async (jobId: string, signal?: AbortSignal): Promise<ItemCounts> => {
    const counts: ItemCounts = { completed: 0, failed: 0 }
    for await (const row of partRows(context, jobId, signal)) {
      const part = parseRow<PartRow>(row.value)
      counts.completed += part.completed
      counts.failed += part.failed
    }
    return counts
  }

  return {
    read: async (caller, jobId, signal) => {
      const [row] = await platform.table.read([ROW_KEYS.job(jobId)], signal)
      const job = row === null ? undefined : parseRow<JobRow>(row.value)
      if (row === null || job?.caller !== caller) {
        throw new AnvilarchError(`There is no batch "${jobId}".`, { code: 'not_found', step: 'jobs.read', ran: 'not_run' })
      }
      return { job, version: row.version }
    },
    counts: async (job, signal) => {
      if (job.counts !== undefined) return job.counts
      const cached = cache.get(job.id)
      // No part is committed after the job has ended, so counts read since then are final.
      const isFinal = cached !== undefined && cached.state !== 'in_progress'
      const maxAgeMs = Math.max(COUNTS_MAX_AGE_MS, job.partItems.length * COUNTS_MAX_AGE_MS_PER_PART)
      const isFresh = cached?.state === job.state && clock.nowMs() - cached.readMs < maxAgeMs
      if (cached !== undefined && (isFinal || isFresh)) return cached.counts
      const readMs = clock.nowMs()
      const counts = await countParts(job.id, signal)
      cache.set(job.id, { counts, state: job.state, readMs })
      return counts
    }
  }
}

/**
 * @param context - shared parts of the daemon
 * @param jobId - id of the job
 * @param signal - aborts the reading
 * @yields rows of the parts that were claimed at least once, in order
 */
export async function * partRows (context: DaemonContext, jobId: string, signal?: AbortSignal): AsyncGenerator<Row> {
  let after: string | undefined
  do {
    const page = await context.platform.table.scan(ROW_KEYS.parts(jobId), { after, limit: PART_PAGE }, signal)
    yield * page.rows
    after = page.next
  } while (after !== undefined)
}

/**
 * No result is committed after the commit that cancels a job, but its last items run until the next polls of their holders.
 * The job is shown as `cancelling` until then.
 *
 * @param job - job to show
 * @param wallMs - wall-clock time
 * @param stopMs - time within which each holder detects the cancellation
 * @returns the state to show
 */
export function shownState (job: JobRow, wallMs: number, stopMs: number): ShownState {
  const isStopping = job.state === 'cancelled' && wallMs - (job.endedAtMs ?? 0) < stopMs
  return isStopping ? 'cancelling' : job.state
}
