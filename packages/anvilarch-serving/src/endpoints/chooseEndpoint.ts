/**
 * Chooses the endpoint of a request. Pure.
 *
 * Designed for bursts, when nearly all slots are taken: a request would wait behind others although another endpoint has a free
 * slot. Where endpoints differ in pace, a slow one gets a request when the others have less room, but
 * a free slot still goes before a queue.
 */
import { v3 as murmurhash } from 'murmurhash'
import type { Endpoint } from '../model/types'
import type { EndpointLoad } from './loadTable'
import { exceedsGapObjective, paceFactor, typicalIntervalMs } from './pace'
import { isFresh } from './probeTargets'

/** Input of the choice. */
export interface ChoiceInput {
  candidates: readonly Endpoint[]
  loadOf: (endpoint: Endpoint) => EndpointLoad
  /** @returns whether the agent of the endpoint responds to probes */
  isResponsive: (endpoint: Endpoint) => boolean
  /** Prompt prefixes that other requests share, outermost first. */
  sharedPrefixes: readonly string[]
  /** Longest pause between two events that counts as on time; 0 if the request has no such objective. */
  gapObjectiveMs: number
  ownFailureDomain: string
  /** Gateways that send to the same endpoints. */
  gatewayCount: number
  /** @returns whether this process has a connection to the endpoint on which no request is in progress */
  hasIdleConnection: (endpoint: Endpoint) => boolean
  weights: PlacementWeights
  /** @returns a number in [0, 1) */
  random: () => number
}

/** Weights of the score of an endpoint, in requests of load. The lowest score wins. */
export interface PlacementWeights {
  /** Added for each batch item that runs at the endpoint. */
  batchItem: number
  /** Subtracted if the endpoint probably has a shared prompt prefix cached. */
  cachedPrefix: number
  /** Subtracted if a connection is open and idle and the load is reported. */
  idleConnection: number
  /** Subtracted if the endpoint is in the failure domain of this process. */
  sameDomain: number
  /** Added while the endpoint is cold. */
  cold: number
  /** Added if no agent reports the load. */
  unknownLoad: number
}

/** Weights of the daemon. */
export const DEFAULT_PLACEMENT_WEIGHTS: PlacementWeights = {
  // A batch item is preempted for the request, which has a cost: its claim is saved and its prompt is processed again.
  batchItem: 1,
  // A cached prefix saves the prefill of some hundred tokens, about 2 ms, which is worth less than half a request of load.
  cachedPrefix: 0.4,
  // A new connection costs a round trip, work on both hosts and, briefly, a slot.
  idleConnection: 1,
  // Another failure domain costs a millisecond and traffic between domains; this decides only between equal loads.
  sameDomain: 0.15,
  // A cold endpoint is slower by about half.
  cold: 2,
  // Other gateways are assumed to have sent as much as this one; this covers the remaining uncertainty.
  unknownLoad: 1
}

/**
 * @param input - candidates, loads and prefixes of the request
 * @returns the candidate with the lowest score, a suspected one only if there are no others; undefined without candidates
 */
export function chooseEndpoint (input: ChoiceInput): Endpoint | undefined {
  const pool = unsuspectedCandidates(comparableCandidates(input), input)
  const preferred = preferredEndpoint(pool, input.sharedPrefixes)
  const typicalMs = typicalIntervalMs(pool.map(input.loadOf))
  let best: Endpoint | undefined
  let bestScore = Infinity
  const offset = Math.floor(input.random() * pool.length)
  for (let index = 0; index < pool.length; index++) {
    const candidate = pool[(index + offset) % pool.length]
    const score = scoreOf(candidate, input, preferred, typicalMs)
    if (score >= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}

/** Excludes endpoints with a stale load if some loads are fresh; endpoints without a responsive agent remain candidates. */
function comparableCandidates (input: ChoiceInput): readonly Endpoint[] {
  const { candidates } = input
  if (!candidates.some(candidate => isFresh(input.loadOf(candidate)))) return candidates
  return candidates.filter(candidate => isFresh(input.loadOf(candidate)) || !input.isResponsive(candidate))
}

function unsuspectedCandidates (candidates: readonly Endpoint[], input: ChoiceInput): readonly Endpoint[] {
  const unsuspected = candidates.filter(candidate => !input.loadOf(candidate).suspected)
  if (unsuspected.length > 0) return unsuspected
  // All comparable endpoints are suspected: any other one is better.
  const others = input.candidates.filter(candidate => !input.loadOf(candidate).suspected)
  return others.length > 0 ? others : candidates
}

function scoreOf (candidate: Endpoint, input: ChoiceInput, preferred: Endpoint | undefined, typicalMs: number | undefined): number {
  const { weights } = input
  const load = input.loadOf(candidate)
  const slots = Math.max(1, candidate.slots)
  const online = onlineAt(load, input)
  let score = weights.batchItem * load.batchRunning
  // No slot is free for a stream whose pauses would be longer than declared.
  const usableSlots = exceedsGapObjective(load, input.gapObjectiveMs) ? 0 : slots
  if (online < usableSlots) score += occupancyScore(online, slots, paceFactor(load, typicalMs))
  else score += slots + queueScore(online - usableSlots) * paceFactor(load, typicalMs)
  if (candidate === preferred) score -= weights.cachedPrefix
  if (isReported(load) && input.hasIdleConnection(candidate)) score -= weights.idleConnection
  if (candidate.failureDomain === input.ownFailureDomain) score -= weights.sameDomain
  if (candidate.coldLeftMs > 0) score += weights.cold
  return score
}

/** A free slot of a slow endpoint counts as at least this much less load than a queue. */
const FREE_SLOT_ADVANTAGE = 0.5

/**
 * An endpoint that is quicker than a typical one is not preferred: all gateways would send it their requests at the same moment.
 *
 * @returns the work until a request would end at an endpoint with a free slot, less that of the request alone at a typical one
 */
function occupancyScore (online: number, slots: number, factor: number): number {
  return factor <= 1 ? online : Math.min(slots - FREE_SLOT_ADVANTAGE, (online + 1) * factor - 1)
}

/** @returns the score of a queue beyond the slots; a request that waits counts twice, as load and as the wait of the next one */
function queueScore (waiting: number): number {
  return 2 * waiting + 1
}

/**
 * Whether an agent has recently reported the load. Without reports, requests are only spread over the endpoints: an idle
 * connection gives no preference, as it would keep all requests at one endpoint.
 */
function isReported (load: EndpointLoad): boolean {
  return load.ageMs !== Infinity
}

function onlineAt (load: EndpointLoad, input: ChoiceInput): number {
  return isReported(load) ? load.online : load.ownInProgress * input.gatewayCount + input.weights.unknownLoad
}

/**
 * Selects an endpoint by rendezvous hashing: the same prefix prefers the same endpoint for as long as it is a candidate.
 *
 * @param candidates - endpoints
 * @param sharedPrefixes - prompt prefixes that other requests share, outermost first
 * @returns the endpoint that probably has the last prefix cached; undefined without shared prefixes
 */
export function preferredEndpoint (candidates: readonly Endpoint[], sharedPrefixes: readonly string[]): Endpoint | undefined {
  const prefix = sharedPrefixes.at(-1)
  if (prefix === undefined) return undefined
  let preferred: Endpoint | undefined
  let highest = -1
  for (const candidate of candidates) {
    const weight = murmurhash(prefix + candidate.id)
    if (weight <= highest) continue
    highest = weight
    preferred = candidate
  }
  return preferred
}
