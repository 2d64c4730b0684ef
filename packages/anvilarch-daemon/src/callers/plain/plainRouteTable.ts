/** Matches calls to plain services with the configured routes. */
import type { ConfigurationDocument, PlainRoute, PlainService } from 'anvilarch-configuration'
import { suggestNames } from 'anvilarch-configuration'
import { AnvilarchError } from 'anvilarch-utils'
import createRouter, { type HTTPMethod, type Instance, type HTTPVersion } from 'find-my-way'

type RouteTable = Instance<HTTPVersion.V1>

const STEP = 'callers.plain_route'

const tables = new WeakMap<PlainService, RouteTable>()

/** Maximum length of a path parameter. */
const MAX_PARAMETER_CHARACTERS = 1_024

/**
 * @param document - the configuration in force
 * @param service - name of a plain service
 * @param method - method of the call
 * @param path - path of the call within the service, with its query
 * @returns the route
 * @throws AnvilarchError with code `not_found` or `method_not_allowed`
 */
export function findPlainRoute (document: ConfigurationDocument, service: string, method: string, path: string): PlainRoute {
  const spec = document.services[service]
  if (spec === undefined || spec.kind !== 'plain') throw unknownService(service, document)
  const found = tableOf(spec).find(method as HTTPMethod, path)
  if (found !== null) return found.store as PlainRoute
  throw noRoute(spec, service, method, path)
}

/** @returns the methods that a service has routes for at a path */
function allowedMethods (spec: PlainService, path: string): string[] {
  const table = tableOf(spec)
  const methods = [...new Set(spec.routes.map(route => route.method.toUpperCase()))]
  return methods.filter(method => table.find(method as HTTPMethod, path) !== null)
}

function tableOf (spec: PlainService): RouteTable {
  let table = tables.get(spec)
  if (table === undefined) {
    table = createRouter({ maxParamLength: MAX_PARAMETER_CHARACTERS })
    for (const route of spec.routes) table.on(route.method.toUpperCase() as HTTPMethod, route.path, () => {}, route)
    tables.set(spec, table)
  }
  return table
}

function unknownService (service: string, document: ConfigurationDocument): AnvilarchError {
  const names = Object.entries(document.services).filter(([, spec]) => spec.kind === 'plain').map(([name]) => name)
  const close = suggestNames(service, names)
  const hint = close.length > 0 ? `; did you mean "${close[0]}"?` : ''
  return new AnvilarchError(`plain service "${service}" is not known here${hint}`, { code: 'not_found', step: STEP })
}

function noRoute (spec: PlainService, service: string, method: string, path: string): AnvilarchError {
  const allowed = allowedMethods(spec, path)
  if (allowed.length > 0) {
    return new MethodNotAllowed(`service "${service}" takes no ${method} on "${path}"; it takes ${allowed.join(', ')}`, allowed)
  }
  const known = spec.routes.map(route => `${route.method} ${route.path}`).join(', ')
  return new AnvilarchError(`service "${service}" has no route for "${path}"; its routes are ${known}`, { code: 'not_found', step: STEP })
}

/** Error that also contains the value of the header `Allow`. */
export class MethodNotAllowed extends AnvilarchError {
  constructor (message: string, readonly allowed: readonly string[]) {
    super(message, { code: 'method_not_allowed', step: 'callers.route' })
  }
}
