/** Selects the route and the target service of a request. */
import type { Configuration, Route, RouteTarget } from '../model/types'

/**
 * @param configuration - the current version
 * @param host - the `Host` of the request; a port is ignored
 * @param target - path, with or without a query
 * @returns the route of that host with the longest matching path prefix; undefined if there is none
 */
export function matchRoute (configuration: Configuration, host: string, target: string): Route | undefined {
  const hostname = withoutPort(host)
  const path = withoutQuery(target)
  let longest: Route | undefined
  for (const route of configuration.routes) {
    if (route.host !== hostname || !path.startsWith(route.pathPrefix)) continue
    if (longest === undefined || route.pathPrefix.length > longest.pathPrefix.length) longest = route
  }
  return longest
}

/**
 * @param route - a route of the configuration
 * @param host - the `Host` of a request; a port is ignored
 * @returns whether the route belongs to that host
 */
export function isRouteHost (route: Pick<Route, 'host'>, host: string): boolean {
  return route.host === withoutPort(host)
}

/**
 * @param targets - services of a route with their weights
 * @param randomValue - a number in [0, 1)
 * @returns the service that the value selects by weight; undefined if no target has a weight
 */
export function chooseService (targets: readonly RouteTarget[], randomValue: number): string | undefined {
  const totalWeight = targets.reduce((sum, target) => sum + target.weight, 0)
  let remainder = randomValue * totalWeight
  for (const target of targets) {
    remainder -= target.weight
    if (remainder < 0) return target.service
  }
  return undefined
}

function withoutPort (host: string): string {
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

function withoutQuery (target: string): string {
  const queryStart = target.indexOf('?')
  return queryStart < 0 ? target : target.slice(0, queryStart)
}
