/** Gives up items of jobs that have expired or lost their route, and removes jobs past their retention. */
import { isClosed } from '../jobs/jobRecord'
import type { ChangeOutcome } from '../jobs/jobStore'
import { isPastRetention, removeJob } from '../jobs/retention'
import type { JobRecord } from '../jobs/types'
import type { Configuration } from '../model/types'
import { jobRoute } from '../routing/jobRoute'
import type { EventLog } from '../telemetry/events'
import { type ClaimParts, giveUpItems } from './claims'
import { createRouteTracker, giveUpReason, type GiveUpReason, responsibleRunner } from './givingUp'
import { type ItemChoiceInput, liveRunners, waitingItems } from './itemChoice'

/** Dependencies of job maintenance. */
export interface JobMaintenanceParts extends ClaimParts {
  log: EventLog
  /** Guaranteed retention of results, counted from submission. */
  retentionMs: number
  configuration: () => Configuration | undefined
  /** Reads the configuration from the store and applies it. @returns whether the store responded */
  refreshConfiguration: () => Promise<boolean>
  choiceInput: (storeNowMs: number) => ItemChoiceInput
  /** Aborted when no further item may be given up. */
  stopping: AbortSignal
}

/** Periodic maintenance of jobs. */
export interface JobMaintenance {
  /** Gives up items that no runner has claimed, of jobs that have expired or lost their route. */
  giveUp: () => Promise<void>
  /** Removes jobs past their retention. */
  retire: () => Promise<void>
}

/**
 * @param parts - store, work and identity
 * @returns the maintenance
 */
export function createJobMaintenance (parts: JobMaintenanceParts): JobMaintenance {
  const { work, store, log } = parts
  const routeTracker = createRouteTracker(parts.clock)
  const jobsWhere = (predicate: (job: JobRecord) => boolean): JobRecord[] => [...work.jobs()].map(entry => entry.record).filter(predicate)

  /** A process that has missed a version would give up jobs of a route that was added with it. */
  const withRemovedRoute = async (jobs: readonly JobRecord[]): Promise<readonly JobRecord[]> => {
    if (jobs.length === 0) return []
    if (!await parts.refreshConfiguration()) {
      log.warn('removed routes not confirmed', { jobCount: jobs.length })
      return []
    }
    const configuration = parts.configuration()
    return configuration === undefined ? [] : jobs.filter(job => jobRoute(configuration, job) === undefined)
  }

  const giveUpJob = async (job: JobRecord, reason: GiveUpReason, storeNowMs: number): Promise<void> => {
    const waiting = (current: JobRecord): number[] => waitingItems(current, parts.choiceInput(storeNowMs))
    const waitingCount = waiting(job).length
    if (waitingCount === 0) return
    let outcome: ChangeOutcome = 'applied'
    while (outcome === 'applied' && !parts.stopping.aborted) outcome = await giveUpItems(parts, job.jobId, waiting)
    log.info('items given up', { jobId: job.jobId, reason, waitingCount, outcome })
  }

  return {
    giveUp: async () => {
      const storeNowMs = store.storeNowMs()
      const configuration = parts.configuration()
      if (storeNowMs === undefined) return
      const open = jobsWhere(job => !isClosed(job))
      if (configuration !== undefined) routeTracker.update(open, configuration)
      const runners = liveRunners(work, storeNowMs)
      const reasonOf = (job: JobRecord): GiveUpReason | undefined => giveUpReason(job, {
        storeNowMs,
        withoutRouteMs: routeTracker.withoutRouteMs(job.jobId),
        isResponsible: responsibleRunner(runners, job.jobId) === parts.runner
      })
      for (const job of open.filter(job => reasonOf(job) === 'expired')) await giveUpJob(job, 'expired', storeNowMs)
      const withoutRoute = await withRemovedRoute(open.filter(job => reasonOf(job) === 'no_route'))
      for (const job of withoutRoute) await giveUpJob(job, 'no_route', storeNowMs)
    },
    retire: async () => {
      const storeNowMs = store.storeNowMs()
      if (storeNowMs === undefined) return
      const runners = liveRunners(work, storeNowMs)
      for (const job of jobsWhere(job => isPastRetention(job, storeNowMs, parts.retentionMs))) {
        if (responsibleRunner(runners, job.jobId) !== parts.runner) continue
        if (!await removeJob(parts, job, log)) log.warn('job not removed', { jobId: job.jobId })
      }
    }
  }
}
