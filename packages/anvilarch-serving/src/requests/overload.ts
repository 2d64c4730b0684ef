/**
 * Decides whether a new request is refused at once because all endpoints are full.
 *
 * Answers bursts beyond the capacity of the fleet. Engines queue in order of arrival: without refusals the queue grows for as
 * long as the burst lasts, and every request of the burst misses its objective. Refusing the part beyond the capacity
 * keeps the others in time, and those who are refused come back when the burst is likely to be over.
 */
import type { Endpoint } from '../model/types'
import type { EndpointLoad } from '../endpoints/loadTable'

/** What the decision depends on. */
export interface OverloadInput {
  candidates: readonly Endpoint[]
  loadOf: (endpoint: Endpoint) => EndpointLoad
  /** How long a request holds a slot; undefined until enough have been seen. */
  holdMs: number | undefined
  latencyObjectiveMs: number
  /** Time that the client still waits. */
  remainingMs: number
  /** Longest time that clients of the route wait from their first attempt on. */
  routeTimeoutMs: number
  /** How many steps of priority lie between the caller and the most urgent callers. */
  priorityRank: number
  random: () => number
}

/** `wait_too_long`: the objective would be missed. `no_time`: even the deadline would. */
export type Overload = { refused: false } | Refusal

/** A refusal, with the wait that it is based on. */
export interface Refusal {
  refused: true
  reason: 'wait_too_long' | 'no_time'
  waitMs: number
  retryAfterMs: number
}

/** Part of the objective that may pass in the queue; the rest is for the prompt and the first event. */
const QUEUE_SHARE = 0.7

/** Each step of priority leaves this part of the time in the queue, so that the less urgent are refused before the more urgent have to wait. */
const RANK_SHARE = 0.8

/** A client with less than this part of the full time has been refused before: it is not sent away twice. */
const FRESH_SHARE = 0.95

/** Clients keep to a Retry-After of up to a third of their time. */
const RETRY_AFTER_SHARE = 1 / 3

/** Those who are refused together come back over this part of the longest delay, not all at once. */
const RETRY_SPREAD = 0.35

/**
 * @param input - loads, times and objective
 * @returns whether the request is refused, and when to come back
 */
export function checkOverload (input: OverloadInput): Overload {
  if (input.holdMs === undefined || input.candidates.length === 0) return { refused: false }
  const waitMs = shortestWaitMs(input, input.holdMs)
  if (waitMs > input.remainingMs) return refusal('no_time', waitMs, input)
  const fresh = input.remainingMs > FRESH_SHARE * input.routeTimeoutMs
  if (fresh && waitMs > QUEUE_SHARE * RANK_SHARE ** input.priorityRank * input.latencyObjectiveMs) return refusal('wait_too_long', waitMs, input)
  return { refused: false }
}

function refusal (reason: 'wait_too_long' | 'no_time', waitMs: number, input: OverloadInput): Overload {
  const longestMs = input.remainingMs * RETRY_AFTER_SHARE
  return { refused: true, reason, waitMs, retryAfterMs: Math.floor(longestMs * (1 - RETRY_SPREAD * input.random())) }
}

/** Requests that wait at an endpoint get a slot one after another, each after the hold time divided by the slots. */
function shortestWaitMs (input: OverloadInput, holdMs: number): number {
  const loads = input.candidates.map(candidate => ({ load: input.loadOf(candidate), slots: Math.max(1, candidate.slots) }))
  const trusted = loads.filter(({ load }) => !load.suspected)
  const waits = (trusted.length > 0 ? trusted : loads).map(({ load, slots }) => Math.max(0, load.online - slots + 1) * holdMs / slots)
  return Math.min(...waits)
}
