/**
 * Decides whether a request is refused immediately because of the queues of all endpoints. Pure.
 *
 * Endpoints queue requests in order of arrival. A request that can't end in time would wait and take a slot for nothing. And a queue that
 * is as long as the longest deadline allows would leave no room for callers with less time, so it is kept shorter than that, for all
 * callers alike.
 */
import type { Endpoint, Route } from '../model/types'
import type { EndpointLoad } from '../endpoints/loadTable'
import { paceFactor, typicalIntervalMs } from '../endpoints/pace'
import { remainingAfterReturnMs } from './callerReturn'

/** Inputs of the decision. */
export interface OverloadInput {
  candidates: readonly Endpoint[]
  loadOf: (endpoint: Endpoint) => EndpointLoad
  /** Mean time that a request holds a slot; undefined until there are enough samples. */
  holdMs: number | undefined
  /** Time for which this request is expected to hold a slot. */
  workMs: number
  /** Time left until the deadline of the request. */
  remainingMs: number
  /** Time left until the client leaves without a first event. */
  firstEventRemainingMs: number
  /** Routes that send requests to the service. */
  routes: ReadonlyArray<Pick<Route, 'kind' | 'timeoutMs'>>
  /** @returns the time that plain requests of a route of this kind are expected to take once they have a slot */
  plainWorkMs: (kind: Route['kind']) => number
  /** Number of priority levels between the caller and the most urgent callers; 0 is the most urgent. */
  priorityRank: number
  /** @returns the share of the caller's account as a fraction of its use; see `shareOfUse` */
  shareOfUse: (capacityPerSecond: number) => number
  /** @returns number of slots of all endpoints of the service */
  slotCount: () => number
}

/** Whether the request is refused. */
export type Overload = { refused: false } | Refusal

/**
 * Why a request is refused. `no_time`: it would miss its deadline, or its client would leave before its first event. `queue_full`: callers
 * with less time would miss theirs, those that return from a refusal among them. `below_rank`: the rest of the queue is for more urgent
 * accounts. `above_share`: the rest is for accounts that use no more than their share.
 */
export type RefusalReason = 'no_time' | 'queue_full' | 'below_rank' | 'above_share'

/** A refusal and the estimated wait that caused it. */
export interface Refusal {
  refused: true
  reason: RefusalReason
  waitMs: number
  /** Longest wait with which the request would be accepted. */
  allowedMs: number
  /** Share of the caller's account as a fraction of its use. */
  shareOfUse: number
}

const MS_PER_SECOND = 1000

/** Times of the request at one endpoint, as estimated. */
interface Estimate {
  waitMs: number
  endMs: number
  /** Whether requests take longer there than at a typical endpoint. */
  isSlow: boolean
}

/**
 * @param input - loads and times
 * @returns whether the request is refused. None is while a slot is free at an endpoint that is not slow: its size is only an estimate of
 *   its work, and the request delays no other
 */
export function checkOverload (input: OverloadInput): Overload {
  if (input.holdMs === undefined || input.candidates.length === 0) return { refused: false }
  const estimates = estimatesOf(input, input.holdMs)
  const fitting = estimates.filter(estimate => excessMs(input, estimate) <= 0)
  const waitMs = Math.min(...(fitting.length > 0 ? fitting : estimates).map(estimate => estimate.waitMs))
  const hasFreeSlot = estimates.some(estimate => estimate.waitMs === 0 && !estimate.isSlow)
  if (hasFreeSlot || (waitMs === 0 && fitting.length > 0)) return { refused: false }
  const shareOfUse = input.shareOfUse(input.slotCount() * MS_PER_SECOND / input.holdMs)
  const refusal = (reason: RefusalReason, allowedMs: number): Refusal => ({ refused: true, reason, waitMs, allowedMs: Math.max(0, allowedMs), shareOfUse })
  if (fitting.length === 0) return refusal('no_time', waitMs - Math.min(...estimates.map(estimate => excessMs(input, estimate))))
  const queueMs = queueLimitMs(input, input.holdMs)
  // Each less urgent rank leaves a larger part of the queue to the others, and so does an account the more it is above its share.
  const rankMs = queueMs / (1 + input.priorityRank)
  const shareMs = rankMs * shareOfUse
  const limits: Array<[RefusalReason, number]> = [['queue_full', queueMs], ['below_rank', rankMs], ['above_share', shareMs]]
  const exceeded = limits.find(([, limitMs]) => waitMs > limitMs)
  return exceeded === undefined ? { refused: false } : refusal(exceeded[0], shareMs)
}

/**
 * @returns the longest wait that leaves room for the callers of all routes, also if they return from a refusal. A route whose requests
 *   could not end in time without a wait does not count
 */
function queueLimitMs ({ routes, plainWorkMs }: OverloadInput, holdMs: number): number {
  const limitsMs = routes.map(({ kind, timeoutMs }) => remainingAfterReturnMs(timeoutMs) - (kind === 'stream' ? holdMs : plainWorkMs(kind)))
  return Math.min(...limitsMs.filter(limitMs => limitMs > 0))
}

/** @returns by how much the estimate exceeds the time of the request; 0 or less if it fits */
function excessMs ({ remainingMs, firstEventRemainingMs }: OverloadInput, { waitMs, endMs }: Estimate): number {
  return Math.max(endMs - remainingMs, waitMs - firstEventRemainingMs)
}

/**
 * @returns estimates for the endpoints. Waiting requests get a slot one after another, each after the hold time divided by the slots;
 *   requests hold slots of slow endpoints for longer
 */
function estimatesOf (input: OverloadInput, holdMs: number): Estimate[] {
  const loads = input.candidates.map(candidate => ({ load: input.loadOf(candidate), slots: candidate.slots }))
  const trusted = loads.filter(({ load }) => !load.suspected)
  const reachable = trusted.length > 0 ? trusted : loads
  const typicalMs = typicalIntervalMs(reachable.map(({ load }) => load))
  return reachable.map(({ load, slots }) => {
    const factor = paceFactor(load, typicalMs)
    const waitMs = expectedWaitMs(load, slots, factor * holdMs)
    return { waitMs, endMs: waitMs + factor * input.workMs, isSlow: factor > 1 }
  })
}

/**
 * @param load - load of an endpoint
 * @param slots - its slots
 * @param holdMs - time for which a request holds one of them
 * @returns the time after which a request gets a slot there
 */
export function expectedWaitMs ({ online }: Pick<EndpointLoad, 'online'>, slots: number, holdMs: number): number {
  const usableSlots = Math.max(1, slots)
  return Math.max(0, online - usableSlots + 1) * holdMs / usableSlots
}
