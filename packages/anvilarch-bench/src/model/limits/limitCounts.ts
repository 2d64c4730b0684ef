/** Exact counters, over all gateways, of the requests that the rate limits allow and of those that were admitted. */
import { bucketLimitsOf, type ClientAccount, type LimitBounds, toleranceOf } from 'anvilarch-serving'
import { type Bucket, takeToken } from 'anvilarch-utils'

/** Counts of one account. */
export interface AccountCounts {
  /** Times of the requests that were admitted. */
  admittedAtMs: number[]
  /** Requests that an exact counter would have admitted. */
  allowed: number
  /** Allowed requests that were refused. */
  wronglyRefused: number
}

/** Counts by account. */
export interface LimitCounts {
  /** Counts a request at its arrival. @returns whether an exact counter would have admitted it */
  onArrival: (name: string, nowMs: number) => boolean
  onDecision: (name: string, admitted: boolean, wouldBeAdmitted: boolean, nowMs: number) => void
  of: (name: string) => AccountCounts
}

/** @returns counters at 0 */
export function createLimitCounts (account: (name: string) => ClientAccount): LimitCounts {
  const counts = new Map<string, AccountCounts>()
  const exact = new Map<string, Bucket>()
  const of = (name: string): AccountCounts => {
    const known = counts.get(name) ?? { admittedAtMs: [], allowed: 0, wronglyRefused: 0 }
    counts.set(name, known)
    return known
  }
  return {
    of,
    onArrival: (name, nowMs) => {
      const result = takeToken(exact.get(name), bucketLimitsOf(account(name)), nowMs)
      exact.set(name, result.bucket)
      return result.taken
    },
    onDecision: (name, admitted, wouldBeAdmitted, nowMs) => {
      const counted = of(name)
      if (wouldBeAdmitted) counted.allowed++
      if (admitted) counted.admittedAtMs.push(nowMs)
      else if (wouldBeAdmitted) counted.wronglyRefused++
    }
  }
}

const MS_PER_SECOND = 1000

/**
 * @param admittedAtMs - times of the admitted requests, ascending
 * @param account - account with its limit
 * @param bounds - window and tolerance
 * @returns the largest excess over the limit in any window, as a share of the tolerated excess
 */
export function overrunOfTolerance (admittedAtMs: readonly number[], account: ClientAccount, bounds: LimitBounds): number {
  const allowed = account.requestsPerSecond * bounds.windowMs / MS_PER_SECOND + account.burstRequests
  let first = 0
  let most = 0
  for (let last = 0; last < admittedAtMs.length; last++) {
    while (admittedAtMs[last] - admittedAtMs[first] > bounds.windowMs) first++
    most = Math.max(most, last - first + 1)
  }
  return Math.max(0, most - allowed) / toleranceOf(account, bounds)
}
