/** Selects the route of a request. */
import type { Configuration, Route, RouteTarget } from '../model/types'

/**
 * @param configuration - the version in force
 * @param host - the `Host` of the request; a port is ignored
 * @param target - path, with or without a query
 * @returns the route of that host with the longest prefix that begins the path
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
 * @param route - of the configuration
 * @param host - the `Host` of a request; a port is ignored
 * @returns whether the route is of that host
 */
export function isRouteHost (route: Pick<Route, 'host'>, host: string): boolean {
  return route.host === withoutPort(host)
}

/**
 * @param targets - services of a route with their weights
 * @param draw - a number in [0, 1)
 * @returns the service that the draw falls on; undefined when no target has a weight
 */
export function chooseService (targets: readonly RouteTarget[], draw: number): string | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let left = draw * total
  for (const target of targets) {
    left -= target.weight
    if (left < 0) return target.service
  }
  return undefined
}

function withoutPort (host: string): string {
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

function withoutQuery (target: string): string {
  const mark = target.indexOf('?')
  return mark < 0 ? target : target.slice(0, mark)
}
