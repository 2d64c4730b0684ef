/** Determines which service an endpoint serves, and whether it can accept a request for a service. Pure. */
import type { ConfigurationDocument, EndpointSettings, ModelService } from 'anvilarch-configuration'
import type { RefusalReason } from 'anvilarch-protocol'
import type { LoadedModelState } from './endpoints/types'

/** Inputs of the decision. */
export interface ServiceView {
  settings: EndpointSettings
  /** Service of the last order; empty after a restart of the agent until the next order. */
  assigned: string
  /** Result of `settledService` for this view. */
  settled: string
  models: LoadedModelState[]
  /** Version of the configuration in force at this agent; 0, without a document, before the first one. */
  version: number
  document: ConfigurationDocument | undefined
}

/**
 * @param view - the endpoint and the configuration
 * @param service - service of the request
 * @param requestVersion - configuration version of the gateway that sent it
 * @returns the reason to refuse the request, or undefined to accept it
 */
export function serviceRefusal (view: ServiceView, service: string, requestVersion: number): RefusalReason | undefined {
  if (view.settings.kind === 'plain') return view.settings.service === service ? undefined : 'unknown_endpoint'
  const spec = view.document?.services[service]
  if (spec?.kind === 'plain') return 'unknown_endpoint'
  if (view.assigned !== '' && view.assigned !== service) return 'model_not_loaded'
  if (spec === undefined) {
    // The agent's or the gateway's configuration is out of date, so that the model of the service is not known.
    if (view.assigned !== service) return requestVersion === view.version ? 'model_not_loaded' : 'stale_configuration'
    return view.models.some(isReady) ? undefined : 'model_not_loaded'
  }
  // While a new version is loading, the endpoint continues to serve with the loaded one.
  const serves = view.settled === service ? hasModel(view.models, spec) : hasExactly(view.models, spec)
  return serves ? undefined : 'model_not_loaded'
}

/**
 * Determines the service of an endpoint. Without an assignment, it is the service that the loaded models match. An
 * endpoint keeps its last matching service as long as the model of that service is loaded: otherwise each change of a
 * service's version or adapters would take all of its endpoints out of service until placement has ordered the load.
 *
 * @param view - the endpoint and the configuration
 * @param before - previous result of this function
 * @returns the service to report: the assigned one, else the one that the loaded models last matched, else the only one
 * that they match; empty for none
 */
export function settledService (view: Omit<ServiceView, 'settled'>, before: string): string {
  if (view.settings.kind === 'plain') return view.settings.service ?? ''
  if (view.assigned !== '') return view.assigned
  const services = view.document?.services ?? {}
  const known = services[before]
  if (known?.kind === 'model' && hasModel(view.models, known)) return before
  const fitting = Object.entries(services)
    .filter(([, spec]) => spec.kind === 'model' && hasExactly(view.models, spec))
    .map(([name]) => name)
  return fitting.length === 1 ? fitting[0] : ''
}

function hasModel (models: LoadedModelState[], spec: ModelService): boolean {
  return models.some(loaded => isReady(loaded) && loaded.model === spec.model)
}

function hasExactly (models: LoadedModelState[], spec: ModelService): boolean {
  return models.some(loaded => isReady(loaded) && loaded.model === spec.model && loaded.version === spec.version && spec.adapters.every(adapter => loaded.adapters.includes(adapter)))
}

function isReady (loaded: LoadedModelState): boolean {
  return loaded.state === 'ready'
}
