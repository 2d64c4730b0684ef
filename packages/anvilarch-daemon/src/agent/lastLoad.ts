/**
 * What an endpoint has to have by its last order to load, so that it can be loaded again after the endpoint's own crash.
 * This is no new order: it repeats the one in force, with its token. Pure.
 */
import type { ConfigurationDocument } from 'anvilarch-configuration'
import type { OrderRequest } from 'anvilarch-protocol'
import type { LoadedModelState } from './endpoints/types'

/** The last order to load that the endpoint has taken. */
export interface LastLoad {
  service: string
  model: string
  version: string
  adapters: string[]
  fencingToken: number
  /** Process of the endpoint that took it. */
  incarnation: string
}

/** What the endpoint said last. */
export interface ProbedEndpoint {
  isUp: boolean
  incarnation: string
  models: LoadedModelState[]
}

/** What an order changes about the last load. */
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
 * @param last - before the order
 * @param order - that the endpoint has taken
 * @param incarnation - of the endpoint
 * @returns the last load after it; undefined when the endpoint is to have nothing
 */
export function afterOrder (last: LastLoad | undefined, order: OrderRequest, incarnation: string): LastLoad | undefined {
  const change = CHANGES[order.action]
  return change === undefined ? last : change(last, order, incarnation)
}

/**
 * @param last - load of the endpoint
 * @param endpoint - as probed
 * @param document - in force at this agent
 * @returns whether a new process of the endpoint lacks what the last load named and its service still runs
 */
export function isReloadDue (last: LastLoad | undefined, endpoint: ProbedEndpoint, document: ConfigurationDocument | undefined): last is LastLoad {
  if (last === undefined || !endpoint.isUp || endpoint.incarnation === last.incarnation) return false
  const { model, version } = last
  if (endpoint.models.some(loaded => loaded.model === model && loaded.version === version)) return false
  const spec = document?.services[last.service]
  return spec?.kind === 'model' && spec.model === model && spec.version === version
}
