/**
 * The last load order of an endpoint, to be repeated after a crash of the endpoint. A reload is not a new order: it
 * repeats the order in force, with its fencing token. Pure.
 */
import type { ConfigurationDocument } from 'anvilarch-configuration'
import type { OrderRequest } from 'anvilarch-protocol'
import type { LoadedModelState } from './endpoints/types'

/** The last load order that the endpoint has accepted. */
export interface LastLoad {
  service: string
  model: string
  version: string
  adapters: string[]
  fencingToken: number
  /** Incarnation of the endpoint process that accepted it. */
  incarnation: string
}

/** Result of the last probe of an endpoint. */
export interface ProbedEndpoint {
  isUp: boolean
  incarnation: string
  models: LoadedModelState[]
}

/** Returns the last load after an order. */
type Change = (last: LastLoad | undefined, order: OrderRequest, incarnation: string) => LastLoad | undefined

const CHANGES: Record<string, Change | undefined> = {
  load: (_last, order, incarnation) => {
    const { service, model, version, adapters } = order
    return { service, model, version, adapters, fencingToken: Number(order.fencingToken), incarnation }
  },
  unload: (last, order) => last?.model === order.model && last.version === order.version ? undefined : last,
  assign: (last, order) => last === undefined || order.service === '' ? undefined : { ...last, service: order.service }
}

/**
 * @param last - last load before the order
 * @param order - the order that the endpoint has accepted
 * @param incarnation - incarnation of the endpoint
 * @returns the last load after the order; undefined if no model is to be loaded
 */
export function afterOrder (last: LastLoad | undefined, order: OrderRequest, incarnation: string): LastLoad | undefined {
  const change = CHANGES[order.action]
  return change === undefined ? last : change(last, order, incarnation)
}

/**
 * @param last - last load of the endpoint
 * @param endpoint - result of the last probe
 * @param document - configuration in force at this agent
 * @returns whether a restarted endpoint lacks the model of its last load, and its service still runs that model version
 */
export function isReloadDue (last: LastLoad | undefined, endpoint: ProbedEndpoint, document: ConfigurationDocument | undefined): last is LastLoad {
  if (last === undefined || !endpoint.isUp || endpoint.incarnation === last.incarnation) return false
  const { model, version } = last
  if (endpoint.models.some(loaded => loaded.model === model && loaded.version === version)) return false
  const spec = document?.services[last.service]
  return spec?.kind === 'model' && spec.model === model && spec.version === version
}
