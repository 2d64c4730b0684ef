/** Decides when the waiting items of a job are given up, and by which runner. Pure, except for the times that `createRouteTracker` records. */
import type { Clock } from 'anvilarch-utils'
import { v3 as murmurhash } from 'murmurhash'
import { isExpired } from '../jobs/jobRecord'
import type { JobRecord } from '../jobs/types'
import type { Configuration } from '../model/types'
import { jobRoute } from '../routing/jobRoute'

/** Why the waiting items of a job are given up. */
export type GiveUpReason = 'expired' | 'no_route'

/** Input of `giveUpReason`. */
export interface GiveUpInput {
  storeNowMs: number
  /** Time for which the job has matched no batch route; undefined while it matches one. */
  withoutRouteMs: number | undefined
  /** Whether this runner is the one that `responsibleRunner` selects. */
  isResponsible: boolean
}

/** A job keeps waiting for this long after its route has been removed, so that an operator can correct a configuration. */
export const ROUTE_GRACE_MS = 4000

/** Other runners step in after this time, if the responsible runner is alive but cannot write to the store. */
export const BACKUP_DELAY_MS = 3000

/**
 * @param job - an open job
 * @param input - time, route and runner
 * @returns why this runner gives up the waiting items of the job now; undefined if it does not
 */
export function giveUpReason (job: Pick<JobRecord, 'expiresAtMs'>, input: GiveUpInput): GiveUpReason | undefined {
  const delayMs = input.isResponsible ? 0 : BACKUP_DELAY_MS
  if (isExpired(job, input.storeNowMs - delayMs)) return 'expired'
  if (input.withoutRouteMs !== undefined && input.withoutRouteMs >= ROUTE_GRACE_MS + delayMs) return 'no_route'
  return undefined
}

/**
 * @param runners - names of the live runners, in the same order at each of them
 * @param jobId - id of a job
 * @returns the runner that maintains the job, so that not all runners try to; undefined without runners
 */
export function responsibleRunner (runners: readonly string[], jobId: string): string | undefined {
  return runners[murmurhash(jobId) % runners.length]
}

/** Records since when jobs have matched no batch route. */
export interface RouteTracker {
  /** Compares all open jobs with a configuration. */
  update: (jobs: readonly JobRecord[], configuration: Configuration) => void
  /** @returns time for which the job has matched no batch route, in milliseconds; undefined while it matches one */
  withoutRouteMs: (jobId: string) => number | undefined
}

/**
 * @param clock - local clock
 * @returns a tracker without jobs
 */
export function createRouteTracker (clock: Clock): RouteTracker {
  const withoutRouteSinceMs = new Map<string, number>()
  return {
    update: (jobs, configuration) => {
      const withoutRoute = new Set(jobs.filter(job => jobRoute(configuration, job) === undefined).map(job => job.jobId))
      for (const jobId of withoutRouteSinceMs.keys()) if (!withoutRoute.has(jobId)) withoutRouteSinceMs.delete(jobId)
      for (const jobId of withoutRoute) if (!withoutRouteSinceMs.has(jobId)) withoutRouteSinceMs.set(jobId, clock.nowMs())
    },
    withoutRouteMs: jobId => {
      const sinceMs = withoutRouteSinceMs.get(jobId)
      return sinceMs === undefined ? undefined : clock.nowMs() - sinceMs
    }
  }
}
