/** Gives up expired items, and removes jobs past their retention. */
import { v3 as murmurhash } from 'murmurhash'
import { isClosed, isExpired } from '../jobs/jobRecord'
import { isPastRetention, removeJob } from '../jobs/retention'
import type { JobRecord } from '../jobs/types'
import type { EventLog } from '../telemetry/events'
import type { ChangeOutcome } from '../jobs/jobStore'
import { type ClaimParts, giveUpItems } from './claims'
import { type ItemChoiceInput, liveRunners, waitingItems } from './itemChoice'

/** Dependencies of job maintenance. */
export interface JobMaintenanceParts extends ClaimParts {
  log: EventLog
  /** Guaranteed retention of results, counted from submission. */
  retentionMs: number
  choiceInput: (storeNowMs: number) => ItemChoiceInput
  /** Aborted when no further item may be given up. */
  stopping: AbortSignal
}

/** Periodic maintenance of jobs. */
export interface JobMaintenance {
  /** Gives up expired items that no runner has claimed. */
  expire: () => Promise<void>
  /** Removes jobs past their retention. */
  retire: () => Promise<void>
}

/**
 * @param parts - store, work and identity
 * @returns the maintenance
 */
export function createJobMaintenance (parts: JobMaintenanceParts): JobMaintenance {
  const { work, store, log } = parts
  const jobsWhere = (predicate: (job: JobRecord) => boolean): JobRecord[] => [...work.jobs()].map(entry => entry.record).filter(predicate)

  const expireJob = async (job: JobRecord, storeNowMs: number): Promise<void> => {
    if (!parts.choiceInput(storeNowMs).mayRun(job)) return
    const waiting = (current: JobRecord): number[] => waitingItems(current, parts.choiceInput(storeNowMs))
    const waitingCount = waiting(job).length
    let outcome: ChangeOutcome = 'applied'
    while (outcome === 'applied' && !parts.stopping.aborted) outcome = await giveUpItems(parts, job.jobId, waiting)
    if (waitingCount > 0) log.info('items given up', { jobId: job.jobId, reason: 'expired', waitingCount, outcome })
  }

  return {
    expire: async () => {
      const storeNowMs = store.storeNowMs()
      if (storeNowMs === undefined) return
      for (const job of jobsWhere(job => !isClosed(job) && isExpired(job, storeNowMs))) await expireJob(job, storeNowMs)
    },
    retire: async () => {
      const storeNowMs = store.storeNowMs()
      if (storeNowMs === undefined) return
      const runners = liveRunners(work, storeNowMs)
      for (const job of jobsWhere(job => isPastRetention(job, storeNowMs, parts.retentionMs))) {
        // Each job is assigned to one runner by the hash of its id, so that not all runners try to remove it.
        if (runners[murmurhash(job.jobId) % runners.length] === parts.runner) await removeJob(parts, job, log)
      }
    }
  }
}
