/** Finds the route of a request. */
import createRouter, { type HTTPMethod, type HTTPVersion, type Instance } from 'find-my-way'
import { AnvilarchError } from 'anvilarch-utils'
import { MethodNotAllowed } from './plain/plainRouteTable'
import type { Route, RouteMethod } from './types'

const METHODS: readonly RouteMethod[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']

/** Maximum length of a path parameter. */
const MAX_PARAMETER_CHARACTERS = 1_024

/** A matching route with the values of its path parameters. */
export interface FoundRoute {
  route: Route
  params: Record<string, string>
}

/** Looks up routes. */
export interface DispatchTable {
  /** @throws AnvilarchError with code `not_found` or `method_not_allowed` */
  find: (method: string, url: string) => FoundRoute
}

/**
 * @param routes - all routes of the server
 * @returns the lookup table
 */
export function createDispatchTable (routes: readonly Route[]): DispatchTable {
  const router: Instance<HTTPVersion.V1> = createRouter({ maxParamLength: MAX_PARAMETER_CHARACTERS, ignoreTrailingSlash: true })
  for (const route of routes) router.on(route.method, route.path, () => {}, route)

  return {
    find: (method, url) => {
      const found = router.find(method as HTTPMethod, url)
      if (found !== null) return { route: found.store as Route, params: found.params as Record<string, string> }
      const path = url.split('?')[0]
      const allowed = METHODS.filter(other => router.find(other, url) !== null)
      if (allowed.length > 0) throw new MethodNotAllowed(`"${path}" takes no ${method}; it takes ${allowed.join(', ')}`, allowed)
      throw new AnvilarchError(`nothing is served at "${path}"`, { code: 'not_found', step: 'callers.route' })
    }
  }
}
