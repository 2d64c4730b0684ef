/**
 * Selects the endpoints whose agents are probed for their load before a request is placed. Pure.
 *
 * Designed for bursts on fleets of any size. The least loaded of four endpoints has a free slot nearly as often as the least
 * loaded of all, at a cost that does not grow with the fleet; more are probed only when those four are full.
 */
import type { Endpoint } from '../model/types'
import type { EndpointLoad } from './loadTable'

/** Input of the selection. */
export interface ProbeTargetInput {
  candidates: readonly Endpoint[]
  /** Endpoint that probably has a shared prompt prefix cached. */
  preferred: Endpoint | undefined
  loadOf: (endpoint: Endpoint) => EndpointLoad
  /** @returns whether this process has a connection to the endpoint on which no request is in progress */
  hasIdleConnection: (endpoint: Endpoint) => boolean
  /** @returns whether the agent of the endpoint responds to probes */
  isResponsive: (endpoint: Endpoint) => boolean
  /** @returns a number in [0, 1) */
  random: () => number
}

/** Endpoints in the first round. */
export const INITIAL_PROBES = 4

/** At most this many of the first round are picked at random from endpoints with an open, idle connection. */
export const MAX_CONNECTED_PROBES = 2

/** Endpoints in the second round, which takes place when no endpoint with a fresh load has a free slot. */
export const ADDITIONAL_PROBES = 8

/** A load report of up to this age is not requested again: a gateway sends only some ten requests per second. */
export const MAX_FRESH_AGE_MS = 40

/** @returns whether the load report is recent enough to choose an endpoint by it */
export function isFresh (load: EndpointLoad): boolean {
  return load.ageMs <= MAX_FRESH_AGE_MS
}

/** Selects the endpoints of the two rounds of probes. */
export const probeTargets = {
  /**
   * @param input - candidates and their known loads
   * @returns the preferred endpoint, the one with the lowest known load, some with an idle connection and some at random,
   *   without those whose load is fresh
   */
  initial: (input: ProbeTargetInput): Endpoint[] => {
    const { candidates, preferred } = input
    const selected = new Set<Endpoint>()
    if (preferred !== undefined) selected.add(preferred)
    const least = leastLoaded(input)
    if (least !== undefined) selected.add(least)
    addRandomly(selected, candidates.filter(input.hasIdleConnection), Math.min(INITIAL_PROBES, selected.size + MAX_CONNECTED_PROBES), input.random)
    addRandomly(selected, candidates, INITIAL_PROBES, input.random)
    return [...selected].filter(endpoint => !isFresh(input.loadOf(endpoint)))
  },

  /**
   * @param input - the same, with the reports of the first round
   * @param probed - endpoints of the first round
   * @returns further endpoints; none if an endpoint with a fresh load has a free slot
   */
  additional: (input: ProbeTargetInput, probed: readonly Endpoint[]): Endpoint[] => {
    if (probed.length === 0 || input.candidates.some(endpoint => hasFreeSlot(endpoint, input.loadOf(endpoint)))) return []
    const first = new Set(probed)
    const rest = input.candidates.filter(endpoint => !first.has(endpoint) && !isFresh(input.loadOf(endpoint)))
    const more = new Set<Endpoint>()
    addRandomly(more, rest, ADDITIONAL_PROBES, input.random)
    return [...more]
  }
}

function hasFreeSlot (endpoint: Endpoint, load: EndpointLoad): boolean {
  return isFresh(load) && !load.suspected && load.online < endpoint.slots
}

function leastLoaded (input: ProbeTargetInput): Endpoint | undefined {
  let least: Endpoint | undefined
  let leastOnline = Infinity
  for (const candidate of input.candidates) {
    if (!input.isResponsive(candidate)) continue
    const load = input.loadOf(candidate)
    if (load.suspected || load.online >= leastOnline) continue
    least = candidate
    leastOnline = load.online
  }
  return least
}

/** Adds members of `from` to the set, with equal probability, until it has `size` members or contains all of them. */
function addRandomly (set: Set<Endpoint>, from: readonly Endpoint[], size: number, random: () => number): void {
  const remaining = from.filter(endpoint => !set.has(endpoint))
  while (set.size < size && remaining.length > 0) {
    const index = Math.min(remaining.length - 1, Math.floor(random() * remaining.length))
    set.add(remaining[index])
    remaining[index] = remaining[remaining.length - 1]
    remaining.pop()
  }
}
