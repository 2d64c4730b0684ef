/**
 * Decides when a refused caller returns. Pure.
 *
 * Load: bursts that exceed the room for a second or two. Callers retry once, within a third of their remaining time, so a
 * retry that comes too early is a second refusal.
 */

/** A request with less than this fraction of the route's timeout left has been refused before. */
const FIRST_TRY_FRACTION = 0.95

/** Clients honor a Retry-After of up to a third of their remaining time. */
const RETRY_AFTER_FRACTION = 1 / 3

/** Retries of requests that are refused together are spread over this fraction of the longest delay. */
const RETRY_SPREAD_FRACTION = 0.35

/** A caller returns this much later than the time from which it can be told from a new one. */
const RECOGNITION_MARGIN_MS = 10

/** Times of a refused request. */
export interface RefusedRequest {
  /** Time left until the deadline of the request. */
  remainingMs: number
  /** Longest time that clients of the route wait, from their first attempt. */
  routeTimeoutMs: number
  /** @returns a random number in [0, 1) */
  random: () => number
}

/**
 * @param request - time left when the request arrived, and the longest time that clients of its route wait
 * @returns whether its caller has not been refused before
 */
export function isFirstAttempt ({ remainingMs, routeTimeoutMs }: Pick<RefusedRequest, 'remainingMs' | 'routeTimeoutMs'>): boolean {
  return remainingMs > FIRST_TRY_FRACTION * routeTimeoutMs
}

/**
 * @param request - a refused request
 * @returns a Retry-After at the end of the time for which the caller would wait, when a burst is likely to be over
 */
export function latestReturnMs ({ remainingMs, random }: RefusedRequest): number {
  return Math.floor(remainingMs * RETRY_AFTER_FRACTION * (1 - RETRY_SPREAD_FRACTION * random()))
}

/**
 * @param request - a refused request
 * @param turnMs - time until there is room for this caller
 * @returns a Retry-After at the turn of the caller, not so early that it seems to be a new one; later callers than it waits
 *   for return as late as they can
 */
export function returnAtTurnMs (request: RefusedRequest, turnMs: number): number {
  const { remainingMs, routeTimeoutMs } = request
  const longestMs = remainingMs * RETRY_AFTER_FRACTION
  if (turnMs > longestMs) return latestReturnMs(request)
  const recognizedMs = remainingMs - FIRST_TRY_FRACTION * routeTimeoutMs + RECOGNITION_MARGIN_MS
  return Math.ceil(Math.min(longestMs, Math.max(turnMs, recognizedMs)))
}
