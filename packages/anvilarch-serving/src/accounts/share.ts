/**
 * Divides room that is short among accounts by their limits. Pure.
 *
 * Load: an account that sends several times its usual while all endpoints are full. Its requests would take the places of
 * accounts that ask for what they always ask for.
 */

/** An account's use of the room, and what bounds its share. */
export interface ShareInput {
  /** Permits of the account in the last second over all gateways. */
  usedPerSecond: number
  /** Limit of the account. */
  limitPerSecond: number
  /** Sum of the limits of all accounts. */
  allLimitsPerSecond: number
  /** Requests that the endpoints of the service complete in a second while all slots are in use. */
  capacityPerSecond: number
}

/**
 * An account's share is its limit, or the part of the capacity that its limit is of all limits if they promise more than there is.
 *
 * @param input - use and limits
 * @returns the share as a fraction of the account's use, at most 1; 1 for an account without a limit
 */
export function shareOfUse ({ usedPerSecond, limitPerSecond, allLimitsPerSecond, capacityPerSecond }: ShareInput): number {
  if (limitPerSecond <= 0 || usedPerSecond <= 0 || allLimitsPerSecond <= 0) return 1
  const sharePerSecond = limitPerSecond * Math.min(1, capacityPerSecond / allLimitsPerSecond)
  return Math.min(1, sharePerSecond / usedPerSecond)
}
