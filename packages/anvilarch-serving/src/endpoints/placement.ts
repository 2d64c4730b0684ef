/** Places requests: asks a few agents how busy their engines are, and chooses among what is known then. */
import type { Endpoint } from '../model/types'
import { chooseEndpoint, DEFAULT_PLACEMENT_WEIGHTS, type PlacementWeights, preferredEndpoint } from './chooseEndpoint'
import type { EndpointTable } from './endpointTable'
import type { LoadAsker } from './loadAsker'
import type { EndpointLoad, LoadTable } from './loadTable'
import { isFresh, whomToAsk } from './whomToAsk'

/** What the place of a request depends on. */
export interface PlacementTerms {
  service: string
  /** Parts of the prompt that other requests share, outermost first. */
  sharedParts: readonly string[]
  /** Starts of endpoints that have been tried. */
  excluded: ReadonlySet<string>
}

/** Places requests at endpoints. */
export interface Placement {
  /** Asks agents. @returns a promise that resolves when it is time to choose */
  prepare: (terms: PlacementTerms) => Promise<void>
  choose: (terms: PlacementTerms) => Endpoint | undefined
  /** @returns endpoints that take requests of the service, those whose load is known now where there are any */
  known: (service: string) => readonly Endpoint[]
  /** @returns how many endpoints take requests of the service */
  count: (service: string) => number
  loadOf: (endpoint: Endpoint) => EndpointLoad
}

/** Options of `createPlacement`. */
export interface PlacementOptions {
  endpoints: Pick<EndpointTable, 'usable'>
  loads: Pick<LoadTable, 'loadOf'>
  asker: Pick<LoadAsker, 'ask' | 'answers'>
  ownFailureDomain: string
  /** @returns how many gateways send to the same endpoints */
  gatewayCount: () => number
  /** @returns connections of this process to the endpoint, idle ones and others */
  openConnections: (endpoint: Endpoint) => number
  weights?: PlacementWeights
  draw: () => number
}

/**
 * @param options - endpoints, loads and whom to ask
 * @returns the placement
 */
export function createPlacement (options: PlacementOptions): Placement {
  const { endpoints, loads, asker, draw } = options
  const loadOf = (endpoint: Endpoint): EndpointLoad => loads.loadOf(endpoint.startId)
  const hasIdleConnection = (endpoint: Endpoint): boolean => options.openConnections(endpoint) > loadOf(endpoint).ownInProgress
  const weights = options.weights ?? DEFAULT_PLACEMENT_WEIGHTS
  const isKnown = (endpoint: Endpoint): boolean => isFresh(loadOf(endpoint))

  const allowed = (terms: PlacementTerms): readonly Endpoint[] => {
    const usable = endpoints.usable(terms.service)
    return terms.excluded.size === 0 ? usable : usable.filter(endpoint => !terms.excluded.has(endpoint.startId))
  }

  return {
    prepare: async terms => {
      const candidates = allowed(terms)
      if (candidates.length < 2) return
      const preferred = weights.sharedPart > 0 ? preferredEndpoint(candidates, terms.sharedParts) : undefined
      const input = { candidates, preferred, loadOf, hasIdleConnection, answers: asker.answers, draw }
      const first = whomToAsk.first(input)
      await asker.ask(first)
      const more = whomToAsk.more(input, first)
      if (more.length > 0) await asker.ask(more)
    },
    choose: terms => chooseEndpoint({
      candidates: allowed(terms),
      loadOf,
      answers: asker.answers,
      sharedParts: terms.sharedParts,
      ownFailureDomain: options.ownFailureDomain,
      gatewayCount: options.gatewayCount(),
      hasIdleConnection,
      weights,
      draw
    }),
    known: service => {
      const usable = endpoints.usable(service)
      const known = usable.filter(isKnown)
      return known.length > 0 ? known : usable
    },
    count: service => endpoints.usable(service).length,
    loadOf
  }
}
