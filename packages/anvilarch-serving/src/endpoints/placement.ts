/** Places requests: probes a few agents for the load of their engines, then chooses an endpoint by the known loads. */
import type { Endpoint } from '../model/types'
import { chooseEndpoint, DEFAULT_PLACEMENT_WEIGHTS, type PlacementWeights, preferredEndpoint } from './chooseEndpoint'
import type { EndpointTable } from './endpointTable'
import type { LoadProber } from './loadProber'
import type { EndpointLoad, LoadTable } from './loadTable'
import { isFresh, probeTargets } from './probeTargets'

/** What a request needs of its endpoint. */
export interface PlacementCriteria {
  service: string
  /** Software version of the endpoints that may continue the stream; undefined if any may. */
  softwareVersion?: string
  /** Prompt prefixes that other requests share, outermost first. */
  sharedPrefixes: readonly string[]
  /** Longest pause between two events that counts as on time; 0 if the request has no such objective. */
  gapObjectiveMs: number
  /** `startId` of endpoints that have been tried. */
  excluded: ReadonlySet<string>
  /** `startId` of the only endpoints that may be chosen; undefined if any may. */
  allowed?: ReadonlySet<string>
}

/** Selects endpoints for requests. */
export interface Placement {
  /** Probes agents. @returns a promise that resolves when an endpoint can be chosen */
  prepare: (criteria: PlacementCriteria) => Promise<void>
  choose: (criteria: PlacementCriteria) => Endpoint | undefined
  /** @returns endpoints that accept such requests: those with a fresh load, or all if none has one */
  candidates: (criteria: Pick<PlacementCriteria, 'service' | 'softwareVersion'>) => readonly Endpoint[]
  /** @returns how many endpoints accept such requests */
  count: (criteria: Pick<PlacementCriteria, 'service' | 'softwareVersion'>) => number
  /** @returns number of slots of these endpoints */
  slotCount: (criteria: Pick<PlacementCriteria, 'service' | 'softwareVersion'>) => number
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
  /** @returns number of open connections of this process to the endpoint, idle or in use */
  openConnections: (endpoint: Endpoint) => number
  weights?: PlacementWeights
  /** @returns a number in [0, 1) */
  random: () => number
}

/**
 * @param options - endpoints, loads and prober
 * @returns the placement
 */
export function createPlacement (options: PlacementOptions): Placement {
  const { endpoints, loads, prober, random } = options
  const loadOf = (endpoint: Endpoint): EndpointLoad => loads.loadOf(endpoint.startId)
  const hasIdleConnection = (endpoint: Endpoint): boolean => options.openConnections(endpoint) > loadOf(endpoint).ownInProgress
  const weights = options.weights ?? DEFAULT_PLACEMENT_WEIGHTS
  const hasFreshLoad = (endpoint: Endpoint): boolean => isFresh(loadOf(endpoint))

  const untried = (criteria: PlacementCriteria): readonly Endpoint[] => {
    const usable = endpoints.usable(criteria.service, criteria.softwareVersion)
    const { excluded, allowed } = criteria
    if (excluded.size === 0 && allowed === undefined) return usable
    return usable.filter(({ startId }) => !excluded.has(startId) && (allowed === undefined || allowed.has(startId)))
  }

  return {
    prepare: async criteria => {
      const candidates = untried(criteria)
      if (candidates.length < 2) return
      const preferred = weights.cachedPrefix > 0 ? preferredEndpoint(candidates, criteria.sharedPrefixes) : undefined
      const input = { candidates, preferred, loadOf, hasIdleConnection, isResponsive: prober.isResponsive, random }
      const first = probeTargets.initial(input)
      await prober.probe(first)
      const more = probeTargets.additional(input, first)
      if (more.length > 0) await prober.probe(more)
    },
    choose: criteria => chooseEndpoint({
      candidates: untried(criteria),
      loadOf,
      isResponsive: prober.isResponsive,
      sharedPrefixes: criteria.sharedPrefixes,
      gapObjectiveMs: criteria.gapObjectiveMs,
      ownFailureDomain: options.ownFailureDomain,
      gatewayCount: options.gatewayCount(),
      hasIdleConnection,
      weights,
      random
    }),
    candidates: ({ service, softwareVersion }) => {
      const usable = endpoints.usable(service, softwareVersion)
      const fresh = usable.filter(hasFreshLoad)
      return fresh.length > 0 ? fresh : usable
    },
    count: ({ service, softwareVersion }) => endpoints.usable(service, softwareVersion).length,
    slotCount: ({ service, softwareVersion }) => endpoints.usable(service, softwareVersion).reduce((sum, endpoint) => sum + endpoint.slots, 0),
    loadOf
  }
}
