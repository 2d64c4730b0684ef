/**
 * Divides what a limit of rate may be exceeded by, over a window, among those who may grant while the usual way is closed.
 *
 * Answers gateways and hosts that are lost, restarted or cut off while an account asks for all it may have: each part is
 * small enough that all of them together stay within the tolerance.
 */
import type { Bucket, BucketLimits } from 'anvilarch-utils'
import type { ClientAccount } from '../types'

/** How closely limits of rate are to be kept. */
export interface LimitBounds {
  /** Any span of this length counts. */
  windowMs: number
  /** Part of what the limit allows in a window by which it may be exceeded. */
  overrunShare: number
  /** Requests by which it may be exceeded besides. */
  slackRequests: number
}

/**
 * Who grants. `home`: the gateway that keeps the account's meter. `deputy`: the next one, for those who do not hear the home.
 * `self`: a gateway that hears neither.
 */
export type Granter = 'home' | 'deputy' | 'self'

/** Part of the tolerance that goes to callers on ordinary days, as requests beyond the burst that may start at once. */
const HOME_SHARE = 0.5

/** A meter that has just been set up may follow one that was lost, which has granted all it could. Two losses in a window fit. */
const START_SHARE = 0.15

/** Half of this at once, the other half over a window. */
const DEPUTY_SHARE = 0.15

/** Over all gateways. */
const SELF_SHARE = 0.05

const MS_PER_SECOND = 1000

/**
 * @param account - its limit
 * @returns the limit as a bucket; one that holds less than a request would never let one through
 */
export function bucketLimitsOf (account: ClientAccount): BucketLimits {
  return { perSecond: account.requestsPerSecond, burst: Math.max(1, account.burstRequests) }
}

/**
 * @param account - its limit
 * @param bounds - how closely it is kept
 * @returns requests by which the account may exceed its limit in a window
 */
export function toleranceOf (account: ClientAccount, bounds: LimitBounds): number {
  const allowed = account.requestsPerSecond * bounds.windowMs / MS_PER_SECOND + account.burstRequests
  return allowed * bounds.overrunShare + bounds.slackRequests
}

/**
 * @param account - its limit
 * @param bounds - how closely it is kept
 * @param granter - who grants
 * @param gatewayCount - gateways of the fleet
 * @returns what the granter may grant
 */
export function grantLimits (account: ClientAccount, bounds: LimitBounds, granter: Granter, gatewayCount: number): BucketLimits {
  const tolerance = toleranceOf(account, bounds)
  if (granter === 'home') {
    const limits = bucketLimitsOf(account)
    return { ...limits, burst: limits.burst + HOME_SHARE * tolerance }
  }
  const requests = granter === 'deputy' ? tolerance * DEPUTY_SHARE / 2 : tolerance * SELF_SHARE / 2 / Math.max(1, gatewayCount)
  return { perSecond: requests * MS_PER_SECOND / bounds.windowMs, burst: Math.max(1, requests) }
}

/**
 * @param account - its limit
 * @param bounds - how closely it is kept
 * @param limits - of the granter
 * @param nowMs - present time
 * @returns the first state of a meter
 */
export function initialBucket (account: ClientAccount, bounds: LimitBounds, limits: BucketLimits, nowMs: number): Bucket {
  return { tokens: Math.min(limits.burst, Math.max(1, toleranceOf(account, bounds) * START_SHARE)), updatedMs: nowMs }
}
