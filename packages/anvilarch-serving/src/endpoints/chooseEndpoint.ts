/**
 * Chooses the endpoint of a request.
 *
 * Answers the load of bursts, when nearly all slots are taken: a request that queues behind others misses its objective
 * although a slot is free elsewhere, and batch items give way only after their agent has noticed.
 */
import { v3 as murmurhash } from 'murmurhash'
import type { Endpoint } from '../model/types'
import type { EndpointLoad } from './loadTable'

/** What the choice depends on. */
export interface ChoiceInput {
  candidates: readonly Endpoint[]
  loadOf: (startId: string) => EndpointLoad
  /** Starts of endpoints that have been tried. */
  excluded: ReadonlySet<string>
  /** Parts of the prompt that other requests share, outermost first. */
  sharedParts: readonly string[]
  ownFailureDomain: string
  draw: () => number
}

/** A batch item beside the request counts as this part of an online one: it gives way, but only after about 30 ms. */
const BATCH_WEIGHT = 0.25

/** A warm prefix saves the prefill of some hundred tokens, about 2 ms; more than half a request of load is not worth that. */
const AFFINITY_BONUS = 0.4

/** Another failure domain costs a millisecond and bytes between domains; it decides only between equals. */
const SAME_DOMAIN_BONUS = 0.15

/** A cold endpoint is slower by about half. */
const COLD_PENALTY = 2

/**
 * @param input - candidates, loads and what is known of the request
 * @returns the least loaded candidate, one under suspicion only when there are no others; undefined without candidates
 */
export function chooseEndpoint (input: ChoiceInput): Endpoint | undefined {
  const allowed = input.candidates.filter(candidate => !input.excluded.has(candidate.startId))
  if (allowed.length === 0) return undefined
  const trusted = allowed.filter(candidate => !input.loadOf(candidate.startId).suspected)
  const pool = trusted.length > 0 ? trusted : allowed
  const preferred = preferredId(pool, input.sharedParts)
  let best: Endpoint | undefined
  let bestScore = Infinity
  const offset = Math.floor(input.draw() * pool.length)
  for (let index = 0; index < pool.length; index++) {
    const candidate = pool[(index + offset) % pool.length]
    const score = scoreOf(candidate, input, preferred)
    if (score >= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}

function scoreOf (candidate: Endpoint, input: ChoiceInput, preferredId: string | undefined): number {
  const load = input.loadOf(candidate.startId)
  const slots = Math.max(1, candidate.slots)
  let score = load.online + BATCH_WEIGHT * load.batchRunning
  if (load.online >= slots) score += load.online - slots + 1
  if (candidate.id === preferredId) score -= AFFINITY_BONUS
  if (candidate.failureDomain === input.ownFailureDomain) score -= SAME_DOMAIN_BONUS
  if (candidate.coldLeftMs > 0) score += COLD_PENALTY
  return score
}

/** Rendezvous hashing: the same part prefers the same endpoint for as long as that endpoint is there. */
function preferredId (pool: readonly Endpoint[], sharedParts: readonly string[]): string | undefined {
  const part = sharedParts.at(-1)
  if (part === undefined) return undefined
  let preferred: string | undefined
  let highest = -1
  for (const candidate of pool) {
    const weight = murmurhash(part + candidate.id)
    if (weight <= highest) continue
    highest = weight
    preferred = candidate.id
  }
  return preferred
}
