/** Places requests: asks a few agents how busy their engines are, and chooses among what is known then. */
import type { Endpoint } from '../model/types'
import { chooseEndpoint, DEFAULT_PLACEMENT_WEIGHTS, type PlacementWeights, preferredEndpoint } from './chooseEndpoint'
import type { EndpointTable } from './endpointTable'
import type { LoadProber } from './loadProber'
import type { EndpointLoad, LoadTable } from './loadTable'
import { isFresh, probeTargets } from './probeTargets'

/** What the place of a request depends on. */
export interface PlacementCriteria {
  service: string
  /** Parts of the prompt that other requests share, outermost first. */
  sharedPrefixes: readonly string[]
  /** Starts of endpoints that have been tried. */
  excluded: ReadonlySet<string>
}

/** Places requests at endpoints. */
export interface Placement {
  /** Asks agents. @returns a promise that resolves when it is time to choose */
  prepare: (terms: PlacementCriteria) => Promise<void>
  choose: (terms: PlacementCriteria) => Endpoint | undefined
  /** @returns endpoints that take requests of the service, those whose load is known now where there are any */
  candidates: (service: string) => readonly Endpoint[]
  /** @returns how many endpoints take requests of the service */
  count: (service: string) => number
  loadOf: (endpoint: Endpoint) => EndpointLoad
}

/** Options of `createPlacement`. */
export interface PlacementOptions {
  endpoints: Pick<EndpointTable, 'usable'>
  loads: Pick<LoadTable, 'loadOf'>
  prober: Pick<LoadProber, 'probe' | 'isResponsive'>
  ownFailureDomain: string
  /** @returns how many gateways send to the same endpoints */
  gatewayCount: () => number
  /** @returns connections of this process to the endpoint, idle ones and others */
  openConnections: (endpoint: Endpoint) => number
  weights?: PlacementWeights
  random: () => number
}

/**
 * @param options - endpoints, loads and whom to ask
 * @returns the placement
 */
export function createPlacement (options: PlacementOptions): Placement {
  const { endpoints, loads, prober, random } = options
  const loadOf = (endpoint: Endpoint): EndpointLoad => loads.loadOf(endpoint.startId)
  const hasIdleConnection = (endpoint: Endpoint): boolean => options.openConnections(endpoint) > loadOf(endpoint).ownInProgress
  const weights = options.weights ?? DEFAULT_PLACEMENT_WEIGHTS
  const isKnown = (endpoint: Endpoint): boolean => isFresh(loadOf(endpoint))

  const allowed = (terms: PlacementCriteria): readonly Endpoint[] => {
    const usable = endpoints.usable(terms.service)
    return terms.excluded.size === 0 ? usable : usable.filter(endpoint => !terms.excluded.has(endpoint.startId))
  }

  return {
    prepare: async terms => {
      const candidates = allowed(terms)
      if (candidates.length < 2) return
      const preferred = weights.cachedPrefix > 0 ? preferredEndpoint(candidates, terms.sharedPrefixes) : undefined
      const input = { candidates, preferred, loadOf, hasIdleConnection, isResponsive: prober.isResponsive, random }
      const first = probeTargets.initial(input)
      await prober.probe(first)
      const more = probeTargets.additional(input, first)
      if (more.length > 0) await prober.probe(more)
    },
    choose: terms => chooseEndpoint({
      candidates: allowed(terms),
      loadOf,
      isResponsive: prober.isResponsive,
      sharedPrefixes: terms.sharedPrefixes,
      ownFailureDomain: options.ownFailureDomain,
      gatewayCount: options.gatewayCount(),
      hasIdleConnection,
      weights,
      random
    }),
    candidates: service => {
      const usable = endpoints.usable(service)
      const known = usable.filter(isKnown)
      return known.length > 0 ? known : usable
    },
    count: service => endpoints.usable(service).length,
    loadOf
  }
}
