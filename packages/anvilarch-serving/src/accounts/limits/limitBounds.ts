/**
 * Divides the tolerance of a rate limit over a window among its granters, including those used while the home is unreachable.
 *
 * Covers gateways and hosts that are lost, restarted or partitioned while an account uses its whole limit: each share is small
 * enough that all of them together stay within the tolerance.
 */
import type { Bucket, BucketLimits } from 'anvilarch-utils'
import type { ClientAccount } from '../types'

/** How far a rate limit may be exceeded. */
export interface LimitBounds {
  /** Length of the window; the tolerance holds for every span of this length. */
  windowMs: number
  /** Tolerated excess, as a share of the requests that the limit allows in a window. */
  overrunShare: number
  /** Tolerated excess in addition to that share, in requests. */
  slackRequests: number
}

/**
 * Granter of permits. `home`: the gateway that keeps the account's meter. `deputy`: the gateway next in rank, for gateways that
 * cannot reach the home. `self`: a gateway that can reach neither.
 */
export type Granter = 'home' | 'deputy' | 'self'

/** Share of the tolerance granted in normal operation, as requests beyond the burst that may start at once. */
const HOME_SHARE = 0.5

/** Share with which a new meter starts. It may replace a lost one that had granted all it could; two losses in a window fit. */
const START_SHARE = 0.15

/** Share of the deputy: half of it at once, the other half over a window. */
const DEPUTY_SHARE = 0.15

/** Share of all gateways that grant to themselves. */
const SELF_SHARE = 0.05

const MS_PER_SECOND = 1000

/**
 * @param account - account with its limit
 * @returns limits of a token bucket that enforces it; a bucket smaller than one request would never grant any
 */
export function bucketLimitsOf (account: ClientAccount): BucketLimits {
  return { perSecond: account.requestsPerSecond, burst: Math.max(1, account.burstRequests) }
}

/**
 * @param account - account with its limit
 * @param bounds - how far the limit may be exceeded
 * @returns requests by which the account may exceed its limit in a window
 */
export function toleranceOf (account: ClientAccount, bounds: LimitBounds): number {
  const allowed = account.requestsPerSecond * bounds.windowMs / MS_PER_SECOND + account.burstRequests
  return allowed * bounds.overrunShare + bounds.slackRequests
}

/**
 * @param account - account with its limit
 * @param bounds - how far the limit may be exceeded
 * @param granter - the granter
 * @param gatewayCount - number of gateways in the fleet
 * @returns limits of the granter's bucket
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
 * @param account - account with its limit
 * @param bounds - how far the limit may be exceeded
 * @param limits - limits of the granter's bucket
 * @param nowMs - current time
 * @returns the initial bucket of a meter
 */
export function initialBucket (account: ClientAccount, bounds: LimitBounds, limits: BucketLimits, nowMs: number): Bucket {
  return { tokens: Math.min(limits.burst, Math.max(1, toleranceOf(account, bounds) * START_SHARE)), updatedMs: nowMs }
}
