/** Gives up items past their age, and removes jobs past their retention. */
import { v3 as murmurhash } from 'murmurhash'
import { isClosed, isExpired } from '../jobs/jobRecord'
import { isPastRetention, removeJob } from '../jobs/retention'
import type { JobRecord } from '../jobs/types'
import type { EventLog } from '../telemetry/events'
import { type ClaimParts, claimItem, finishItem } from './claims'
import { chooseItems, type ItemChoiceInput, liveRunners } from './itemChoice'

/** Parts of the upkeep. */
export interface JobMaintenanceParts extends ClaimParts {
  log: EventLog
  /** How long results are promised, from the submission on. */
  retentionMs: number
  choiceInput: (storeNowMs: number) => ItemChoiceInput
}

/** What is done from time to time. */
export interface JobMaintenance {
  /** Gives up what is past its age and held by nobody. */
  expire: () => Promise<void>
  /** Removes jobs past their retention. */
  retire: () => Promise<void>
}

/**
 * @param parts - store, work and identity
 * @returns the upkeep
 */
export function createJobMaintenance (parts: JobMaintenanceParts): JobMaintenance {
  const { work, store, log } = parts
  const jobsThat = (holds: (job: JobRecord) => boolean): JobRecord[] => [...work.jobs()].map(entry => entry.record).filter(holds)

  const expireJob = async (job: JobRecord, storeNowMs: number): Promise<void> => {
    const input = parts.choiceInput(storeNowMs)
    const mayRun = (candidate: JobRecord): boolean => candidate.jobId === job.jobId && input.mayRun(candidate)
    for (const candidate of chooseItems({ ...input, mayRun }, job.itemIds.length)) {
      if (await claimItem(parts, job.jobId, candidate.item)) await finishItem(parts, job.jobId, candidate.item, 'dead_letter', '')
    }
  }

  return {
    expire: async () => {
      const storeNowMs = store.storeNowMs()
      if (storeNowMs === undefined) return
      for (const job of jobsThat(job => !isClosed(job) && isExpired(job, storeNowMs))) await expireJob(job, storeNowMs)
    },
    retire: async () => {
      const storeNowMs = store.storeNowMs()
      if (storeNowMs === undefined) return
      const runners = liveRunners(work, storeNowMs)
      for (const job of jobsThat(job => isPastRetention(job, storeNowMs, parts.retentionMs))) {
        // Each job falls on one runner by its id, so that they do not all try.
        if (runners[murmurhash(job.jobId) % runners.length] === parts.runner) await removeJob(parts, job, log)
      }
    }
  }
}
