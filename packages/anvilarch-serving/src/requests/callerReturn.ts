/** Decides when a refused caller returns. Pure. */

/** Clients honor a Retry-After of up to a third of their remaining time. */
const RETRY_AFTER_FRACTION = 1 / 3

/** Callers without a turn return spread over this fraction of the time for which they wait. If all came at its end, fewer would be served; more spread costs more tries. */
const SPREAD_FRACTION = 0.5

/**
 * @param remainingMs - time left until the deadline of a refused request
 * @returns the longest Retry-After that its client honors
 */
export function longestReturnMs (remainingMs: number): number {
  return Math.max(0, Math.floor(remainingMs * RETRY_AFTER_FRACTION))
}

/**
 * @param remainingMs - time left until the deadline of a refused request
 * @returns the time that is left when its client returns at the latest
 */
export function remainingAfterReturnMs (remainingMs: number): number {
  return remainingMs * (1 - RETRY_AFTER_FRACTION)
}

/**
 * @param remainingMs - time left until the deadline of a refused request
 * @param turnMs - time until there is room for its caller
 * @param random - returns a number in [0, 1)
 * @returns a Retry-After at the turn of the caller. A caller that can't return so late comes in the later part of the time for which it
 *   waits: a shortage may be over by then
 */
export function returnAtTurnMs (remainingMs: number, turnMs: number, random: () => number): number {
  const longestMs = longestReturnMs(remainingMs)
  return turnMs <= longestMs ? Math.ceil(turnMs) : Math.floor(longestMs * (1 - SPREAD_FRACTION * random()))
}
