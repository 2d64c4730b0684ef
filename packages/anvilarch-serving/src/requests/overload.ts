/**
 * Decides whether a new request is refused immediately because all endpoints are full.
 *
 * Limits the effect of bursts beyond the capacity of the fleet. Engines queue requests in order of arrival: without refusals the
 * queue grows for as long as the burst lasts, and every request of the burst misses its objective. Refusing the excess keeps the
 * other requests on time, and refused clients retry when the burst is likely to be over.
 */
import type { Endpoint } from '../model/types'
import type { EndpointLoad } from '../endpoints/loadTable'
import { endangersGapObjective, paceFactor, typicalIntervalMs } from '../endpoints/pace'
import { isFirstAttempt, latestReturnMs } from './callerReturn'

/** Inputs of the decision. */
export interface OverloadInput {
  candidates: readonly Endpoint[]
  loadOf: (endpoint: Endpoint) => EndpointLoad
  /** Mean time that a request holds a slot; undefined until there are enough samples. */
  holdMs: number | undefined
  latencyObjectiveMs: number
  /** Longest pause between two events that counts as on time; 0 if there is no such objective. */
  gapObjectiveMs: number
  /** Time left until the deadline of the request. */
  remainingMs: number
  /** Longest time that clients of the route wait, from their first attempt. */
  routeTimeoutMs: number
  /** Number of priority levels between the caller and the most urgent callers; 0 is the most urgent. */
  priorityRank: number
  /** @returns the share of the caller's account as a fraction of its use; see `shareOfUse` */
  shareOfUse: (capacityPerSecond: number) => number
  /** @returns number of slots of all endpoints of the service */
  slotCount: () => number
  /** @returns a random number in [0, 1) */
  random: () => number
}

/** Whether the request is refused. */
export type Overload = { refused: false } | Refusal

/** A refusal and the estimated wait that caused it. */
export interface Refusal {
  refused: true
  /**
   * `wait_too_long`: the request would miss its latency objective. `above_share`: it would wait although its account uses more than
   * its share. `no_time`: it would miss its deadline.
   */
  reason: 'wait_too_long' | 'above_share' | 'no_time'
  waitMs: number
  /** Share of the caller's account as a fraction of its use. */
  shareOfUse: number
  retryAfterMs: number
}

/** Fraction of the latency objective that may be spent in the queue. The rest is for the prompt and the first event. */
const QUEUE_FRACTION = 0.7

/**
 * Each priority level reduces the allowed queueing time to this fraction, so that less urgent requests are refused before more urgent
 * ones have to wait. In the same way an account that uses more than its share is refused before those that do not.
 */
const PRIORITY_RANK_FACTOR = 0.8

const MS_PER_SECOND = 1000

/**
 * @param input - loads, times and objective
 * @returns whether the request is refused, and the delay of its retry
 */
export function checkOverload (input: OverloadInput): Overload {
  if (input.holdMs === undefined || input.candidates.length === 0) return { refused: false }
  const waitMs = shortestWaitMs(input, input.holdMs)
  const shareOfUse = waitMs === 0 ? 1 : input.shareOfUse(input.slotCount() * MS_PER_SECOND / input.holdMs)
  const refusal = (reason: Refusal['reason']): Refusal => ({ refused: true, reason, waitMs, shareOfUse, retryAfterMs: latestReturnMs(input) })
  if (waitMs > input.remainingMs) return refusal('no_time')
  // A caller that has been refused before is not refused a second time for a long wait.
  if (!isFirstAttempt(input)) return { refused: false }
  const allowedMs = QUEUE_FRACTION * PRIORITY_RANK_FACTOR ** input.priorityRank * input.latencyObjectiveMs
  if (waitMs > allowedMs) return refusal('wait_too_long')
  return waitMs > shareOfUse * allowedMs ? refusal('above_share') : { refused: false }
}

/**
 * @returns the shortest wait among the endpoints. Waiting requests get a slot one after another, each after the hold time divided
 *   by the slots; requests hold slots of slow endpoints for longer
 */
function shortestWaitMs (input: OverloadInput, holdMs: number): number {
  const loads = input.candidates.map(candidate => ({ load: input.loadOf(candidate), slots: Math.max(1, candidate.slots) }))
  const trusted = loads.filter(({ load }) => !load.suspected)
  const reachable = trusted.length > 0 ? trusted : loads
  // A free slot that would make the stream late is no room, unless there is no other endpoint.
  const quick = reachable.filter(({ load }) => !endangersGapObjective(load, input.gapObjectiveMs))
  const usable = quick.length > 0 ? quick : reachable
  const typicalMs = typicalIntervalMs(usable.map(({ load }) => load))
  const waits = usable.map(({ load, slots }) => Math.max(0, load.online - slots + 1) * paceFactor(load, typicalMs) * holdMs / slots)
  return Math.min(...waits)
}
