/** Finds the routes that send requests to a service. */
import type { Configuration, Route } from '../model/types'

/**
 * @param configuration - the current version
 * @param service - name of the service
 * @returns the routes of requests of the service, without those of jobs
 */
export function requestRoutes (configuration: Pick<Configuration, 'routes'> | undefined, service: string): Route[] {
  return configuration?.routes.filter(({ kind, targets }) => kind !== 'batch' && targets.some(target => target.service === service && target.weight > 0)) ?? []
}
