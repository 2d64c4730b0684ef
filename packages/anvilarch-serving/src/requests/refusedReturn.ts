/** Decides the Retry-After of a request that its service has no room for. */
import type { PlacementCriteria } from '../endpoints/placement'
import { longestReturnMs, returnAtTurnMs } from './callerReturn'
import type { ForwardParts } from './forwardTypes'

const MS_PER_SECOND = 1000

/** A request without room. */
export interface RefusedRequest {
  /** Service and software version of the endpoints that could take it. */
  criteria: PlacementCriteria
  remainingMs: number
  /** Time until there is room for the request if no other comes. */
  roomInMs: number
}

/**
 * @param parts - slots, hold times and turns
 * @param request - a request that is refused
 * @returns its Retry-After: the turn of its caller, or the later part of the time for which it waits if there is none or nothing is
 *   known of the service
 */
export function retryAfterMs (parts: Pick<ForwardParts, 'placement' | 'holdTimes' | 'serviceTurns' | 'random'>, { criteria, remainingMs, roomInMs }: RefusedRequest): number {
  const slotTimeMs = parts.holdTimes.slotTimeMs(criteria.service)
  const room = { roomInMs, longestReturnMs: longestReturnMs(remainingMs) }
  const turnMs = slotTimeMs === undefined
    ? Infinity
    : parts.serviceTurns.onRefused(criteria.service, { ...room, capacityPerSecond: parts.placement.slotCount(criteria) * MS_PER_SECOND / Math.max(1, slotTimeMs) })
  return returnAtTurnMs(remainingMs, turnMs, parts.random)
}
