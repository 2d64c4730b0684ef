/**
 * Decides which agents are asked before a request is placed. Pure.
 *
 * Answers bursts on fleets of any size. The least loaded of four finds a free slot nearly as often as the least loaded of all,
 * at a cost that does not grow with the fleet; only when those four are full are more asked.
 */
import type { Endpoint } from '../model/types'
import type { EndpointLoad } from './loadTable'

/** What the decision depends on. */
export interface ProbeTargetInput {
  candidates: readonly Endpoint[]
  /** Where a shared part of the prompt is probably cached. */
  preferred: Endpoint | undefined
  loadOf: (endpoint: Endpoint) => EndpointLoad
  /** @returns whether this process has a connection to the endpoint on which no request is in progress */
  hasIdleConnection: (endpoint: Endpoint) => boolean
  /** @returns whether the agent of the endpoint answers, as far as is known */
  isResponsive: (endpoint: Endpoint) => boolean
  random: () => number
}

/** Agents asked at first. */
export const INITIAL_PROBES = 4

/** Of the first, this many at most are drawn from those to which a connection is open and idle. */
export const MAX_CONNECTED_PROBES = 2

/** Agents asked when the first are all full. */
export const ADDITIONAL_PROBES = 8

/** A load that was told this long ago is as good as one just asked for: a gateway sends some ten requests a second. */
export const MAX_FRESH_AGE_MS = 40

/** @returns whether the load is known well enough to choose by */
export function isFresh (load: EndpointLoad): boolean {
  return load.ageMs <= MAX_FRESH_AGE_MS
}

/** The two rounds of questions. */
export const probeTargets = {
  /**
   * @param input - candidates and what is known of them
   * @returns the preferred endpoint, the one that seemed the least loaded, some with an idle connection, and some by chance
   */
  initial: (input: ProbeTargetInput): Endpoint[] => {
    const { candidates, preferred } = input
    const asked = new Set<Endpoint>()
    if (preferred !== undefined) asked.add(preferred)
    const least = leastLoaded(input)
    if (least !== undefined) asked.add(least)
    addByChance(asked, candidates.filter(input.hasIdleConnection), Math.min(INITIAL_PROBES, asked.size + MAX_CONNECTED_PROBES), input.random)
    addByChance(asked, candidates, INITIAL_PROBES, input.random)
    return [...asked].filter(endpoint => !isFresh(input.loadOf(endpoint)))
  },

  /**
   * @param input - the same, with the answers to the first questions
   * @param asked - who was asked first
   * @returns further endpoints, if none whose load is known has a free slot
   */
  additional: (input: ProbeTargetInput, asked: readonly Endpoint[]): Endpoint[] => {
    if (asked.length === 0 || input.candidates.some(endpoint => hasFreeSlot(endpoint, input.loadOf(endpoint)))) return []
    const first = new Set(asked)
    const rest = input.candidates.filter(endpoint => !first.has(endpoint) && !isFresh(input.loadOf(endpoint)))
    const more = new Set<Endpoint>()
    addByChance(more, rest, ADDITIONAL_PROBES, input.random)
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

/** Adds members of `from`, each as likely as any other, until the set has `size` or holds all of them. */
function addByChance (set: Set<Endpoint>, from: readonly Endpoint[], size: number, draw: () => number): void {
  const left = from.filter(endpoint => !set.has(endpoint))
  while (set.size < size && left.length > 0) {
    const index = Math.min(left.length - 1, Math.floor(draw() * left.length))
    set.add(left[index])
    left[index] = left[left.length - 1]
    left.pop()
  }
}
