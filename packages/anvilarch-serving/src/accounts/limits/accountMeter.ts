/**
 * Counts the permits of an account against its rate limit, and plans when denied callers return, as pure functions from state and
 * time to the next state.
 *
 * Load: for seconds, an account sends several times what its limit allows, and each of its callers retries once. Requests that
 * are within the limit when they arrive come first; denied callers return one after another, in the room that those leave.
 */
import { type Bucket, type BucketLimits, refill } from 'anvilarch-utils'

/** State of a meter. */
export interface AccountMeter {
  bucket: Bucket
  /** Denied callers whose turn has not come. */
  backlog: Bucket
  /** First attempts of the last second or so, as a count that decays. */
  recentFirst: Bucket
  /** Permits of the last second or so, as a count that decays. */
  recentGranted: Bucket
}

/** Requests of an account at one gateway. */
export interface PermitDemand {
  /** Requests that would start, `returning` included. */
  wanted: number
  /** Requests of callers that were denied before. */
  returning: number
  /** Requests that the gateway has denied without a permit request since its last one. */
  deniedUnasked: number
}

/** Permits granted for the requests of a gateway. */
export interface Grant {
  /** Permits, for first attempts before returning callers. */
  granted: number
  /** Time until the turn of the first denied caller; 0 when all were granted. */
  retryAfterMs: number
  /** Time between the turns of denied callers; 0 if there are no turns, because first attempts use the whole limit. */
  turnIntervalMs: number
  /** Permits of the account in the last second over all gateways. */
  usedPerSecond: number
}

const MS_PER_SECOND = 1000

/** Callers that are denied retry within this time or not at all. */
const MAX_RETRY_AFTER_MS = 5000

/** Time constant of the rates of first attempts and of permits. Shorter than a burst, and long enough to count some requests of a small account. */
const DEMAND_WINDOW_MS = 1000

/** Returning callers leave permits for the first attempts of this time. */
const RESERVE_MS = 100

/** With less of the limit than this share left by first attempts, returning callers get no turns. */
const MIN_SPARE_SHARE = 0.1

/** @returns a meter with this bucket, and without denied callers */
export function createMeter (bucket: Bucket): AccountMeter {
  const none = { tokens: 0, updatedMs: bucket.updatedMs }
  return { bucket, backlog: none, recentFirst: none, recentGranted: none }
}

/**
 * @param meter - state
 * @param demand - requests that would start
 * @param limits - limits of the bucket
 * @param nowMs - current time
 * @returns the next state and the grant
 */
export function grantPermits (meter: AccountMeter, demand: PermitDemand, limits: BucketLimits, nowMs: number): { meter: AccountMeter, grant: Grant } {
  const { tokens, updatedMs } = refill(meter.bucket, limits, nowMs)
  const first = demand.wanted - demand.returning
  const recentFirst = decay(meter.recentFirst, nowMs) + first + demand.deniedUnasked
  const firstPerSecond = recentFirst * MS_PER_SECOND / DEMAND_WINDOW_MS
  const reserve = Math.min(limits.burst / 2, firstPerSecond * RESERVE_MS / MS_PER_SECOND)

  const grantedFirst = Math.min(first, Math.floor(tokens))
  const grantedReturning = Math.max(0, Math.min(demand.returning, Math.floor(tokens - grantedFirst - reserve)))
  const granted = grantedFirst + grantedReturning
  const denied = demand.wanted - granted
  const recentGranted = decay(meter.recentGranted, nowMs) + granted
  const usedPerSecond = Math.round(recentGranted * MS_PER_SECOND / DEMAND_WINDOW_MS)

  const sparePerSecond = limits.perSecond - firstPerSecond
  const hasTurns = sparePerSecond > MIN_SPARE_SHARE * limits.perSecond
  const waiting = hasTurns ? remainingBacklog(meter.backlog, sparePerSecond, nowMs) : 0
  const turnIntervalMs = hasTurns ? MS_PER_SECOND / sparePerSecond : 0
  const firstTurnMs = hasTurns ? (1 + reserve - (tokens - granted) + waiting) * turnIntervalMs : MAX_RETRY_AFTER_MS
  return {
    meter: {
      bucket: { tokens: tokens - granted, updatedMs },
      backlog: { tokens: hasTurns ? waiting + denied + demand.deniedUnasked : 0, updatedMs: nowMs },
      recentFirst: { tokens: recentFirst, updatedMs: nowMs },
      recentGranted: { tokens: recentGranted, updatedMs: nowMs }
    },
    grant: denied === 0
      ? { granted, retryAfterMs: 0, turnIntervalMs: 0, usedPerSecond }
      : { granted, retryAfterMs: Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(0, firstTurnMs))), turnIntervalMs: Math.ceil(turnIntervalMs), usedPerSecond }
  }
}

/**
 * @param meter - state
 * @param count - number of requests that were granted and have not run
 * @param limits - limits of the bucket
 * @returns the next state
 */
export function refundPermits (meter: AccountMeter, count: number, limits: BucketLimits): AccountMeter {
  return { ...meter, bucket: { ...meter.bucket, tokens: Math.min(limits.burst, meter.bucket.tokens + count) } }
}

function decay (count: Bucket, nowMs: number): number {
  return count.tokens * Math.exp(-Math.max(0, nowMs - count.updatedMs) / DEMAND_WINDOW_MS)
}

/** Callers that were told a turn later than callers wait do not return, so they are not counted. */
function remainingBacklog (backlog: Bucket, sparePerSecond: number, nowMs: number): number {
  const passed = Math.max(0, nowMs - backlog.updatedMs) / MS_PER_SECOND * sparePerSecond
  return Math.min(Math.max(0, backlog.tokens - passed), sparePerSecond * MAX_RETRY_AFTER_MS / MS_PER_SECOND)
}
