/** Selects the route of a job that has been accepted. */
import type { JobRecord } from '../jobs/types'
import type { Configuration, Route } from '../model/types'
import { matchRoute } from './matchRoute'

/**
 * @param configuration - the current version
 * @param job - an accepted job
 * @returns the batch route that the job's submission would take now; undefined if there is none
 */
export function jobRoute (configuration: Configuration, job: Pick<JobRecord, 'host' | 'path'>): Route | undefined {
  const route = matchRoute(configuration, job.host, job.path)
  return route?.kind === 'batch' ? route : undefined
}

/**
 * @param configuration - the current version
 * @param job - an accepted job
 * @param service - service of an endpoint, as the endpoint lists it
 * @returns whether the job's route leads to that service
 */
export function isRoutedTo (configuration: Configuration, job: Pick<JobRecord, 'host' | 'path'>, service: string): boolean {
  return jobRoute(configuration, job)?.targets.some(target => target.service === service && target.weight > 0) ?? false
}
