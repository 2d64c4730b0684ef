/**
 * Chooses the endpoint of a request. Pure.
 *
 * Answers the load of bursts, when nearly all slots are taken: a request that queues behind others misses its objective
 * although a slot is free elsewhere.
 */
import { v3 as murmurhash } from 'murmurhash'
import type { Endpoint } from '../model/types'
import type { EndpointLoad } from './loadTable'
import { isFresh } from './probeTargets'

/** What the choice depends on. */
export interface ChoiceInput {
  candidates: readonly Endpoint[]
  loadOf: (endpoint: Endpoint) => EndpointLoad
  /** @returns whether the agent of the endpoint answers, as far as is known */
  isResponsive: (endpoint: Endpoint) => boolean
  /** Parts of the prompt that other requests share, outermost first. */
  sharedPrefixes: readonly string[]
  ownFailureDomain: string
  /** Gateways that send to the same endpoints. */
  gatewayCount: number
  /** @returns whether this process has a connection to the endpoint on which no request is in progress */
  hasIdleConnection: (endpoint: Endpoint) => boolean
  weights: PlacementWeights
  random: () => number
}

/** What counts for and against an endpoint, each in requests of load. */
export interface PlacementWeights {
  /** A batch item beside the request. */
  batchItem: number
  /** Taken off where a shared part of the prompt is probably cached. */
  cachedPrefix: number
  /** Taken off where a connection is open and idle and the load is known. */
  idleConnection: number
  /** Taken off in the own failure domain. */
  sameDomain: number
  /** Added for an endpoint that is cold. */
  cold: number
  /** Added where no agent tells the load. */
  unknownLoad: number
}

/** Weights of the daemon. */
export const DEFAULT_PLACEMENT_WEIGHTS: PlacementWeights = {
  // It gives way, but its claim is saved and its prompt read again: cutting it is not free.
  batchItem: 1,
  // A warm prefix saves the prefill of some hundred tokens, about 2 ms; more than half a request of load is not worth that.
  cachedPrefix: 0.4,
  // A new connection takes a round trip and work of both hosts, and briefly a slot.
  idleConnection: 1,
  // Another failure domain costs a millisecond and bytes between domains; it decides only between equals.
  sameDomain: 0.15,
  // A cold endpoint is slower by about half.
  cold: 2,
  // Other gateways have probably sent as much as this one; the rest stands for what is not known.
  unknownLoad: 1
}

/**
 * @param input - candidates, loads and what is known of the request
 * @returns the least loaded candidate, one under suspicion only when there are no others; undefined without candidates
 */
export function chooseEndpoint (input: ChoiceInput): Endpoint | undefined {
  const pool = trustedAmong(comparableAmong(input), input)
  const preferred = preferredEndpoint(pool, input.sharedPrefixes)
  let best: Endpoint | undefined
  let bestScore = Infinity
  const offset = Math.floor(input.random() * pool.length)
  for (let index = 0; index < pool.length; index++) {
    const candidate = pool[(index + offset) % pool.length]
    const score = scoreOf(candidate, input, preferred)
    if (score >= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}

/** Where some loads are known now, an older word of other endpoints is not compared with them; those without an agent stay. */
function comparableAmong (input: ChoiceInput): readonly Endpoint[] {
  const { candidates } = input
  if (!candidates.some(candidate => isFresh(input.loadOf(candidate)))) return candidates
  return candidates.filter(candidate => isFresh(input.loadOf(candidate)) || !input.isResponsive(candidate))
}

function trustedAmong (candidates: readonly Endpoint[], input: ChoiceInput): readonly Endpoint[] {
  const trusted = candidates.filter(candidate => !input.loadOf(candidate).suspected)
  if (trusted.length > 0) return trusted
  // All that are known now are under suspicion: any other one is better.
  const others = input.candidates.filter(candidate => !input.loadOf(candidate).suspected)
  return others.length > 0 ? others : candidates
}

function scoreOf (candidate: Endpoint, input: ChoiceInput, preferred: Endpoint | undefined): number {
  const { weights } = input
  const load = input.loadOf(candidate)
  const slots = Math.max(1, candidate.slots)
  const online = onlineAt(load, input)
  let score = online + weights.batchItem * load.batchRunning
  if (online >= slots) score += online - slots + 1
  if (candidate === preferred) score -= weights.cachedPrefix
  if (isTold(load) && input.hasIdleConnection(candidate)) score -= weights.idleConnection
  if (candidate.failureDomain === input.ownFailureDomain) score -= weights.sameDomain
  if (candidate.coldLeftMs > 0) score += weights.cold
  return score
}

/** Whether an agent has lately told the load. Where none does, gateways share it by spreading alone, and hold to no endpoint. */
function isTold (load: EndpointLoad): boolean {
  return load.ageMs !== Infinity
}

function onlineAt (load: EndpointLoad, input: ChoiceInput): number {
  return isTold(load) ? load.online : load.ownInProgress * input.gatewayCount + input.weights.unknownLoad
}

/**
 * Rendezvous hashing: the same part prefers the same endpoint for as long as that endpoint is there.
 *
 * @param candidates - endpoints
 * @param sharedParts - parts of the prompt that other requests share, outermost first
 * @returns where the last shared part is probably cached; undefined without shared parts
 */
export function preferredEndpoint (candidates: readonly Endpoint[], sharedParts: readonly string[]): Endpoint | undefined {
  const part = sharedParts.at(-1)
  if (part === undefined) return undefined
  let preferred: Endpoint | undefined
  let highest = -1
  for (const candidate of candidates) {
    const weight = murmurhash(part + candidate.id)
    if (weight <= highest) continue
    highest = weight
    preferred = candidate
  }
  return preferred
}
