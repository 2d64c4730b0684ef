/**
 * Counts the permits of an account against its rate limit, and plans when denied callers return, as pure functions from state and
 * time to the next state.
 *
 * Permits are granted in order of arrival. A denied caller gets a turn in what new requests leave of the limit.
 */
import { type Bucket, type BucketLimits, refill, decayed, noTurns, perSecondOf, planTurns, type TurnLimits, type Turns } from 'anvilarch-utils'

/** State of a meter. */
export interface AccountMeter {
  bucket: Bucket
  /** Turns of denied callers. */
  turns: Turns
  /** Permits of the last second or so, as a count that decays. */
  recentGranted: Bucket
}

/** Requests of an account at one gateway. */
export interface PermitDemand {
  /** Requests that would start. */
  wanted: number
  /** Requests that the gateway has denied without a permit request since its last one. */
  deniedUnasked: number
}

/** Permits granted for the requests of a gateway. */
export interface Grant {
  /** Permits, in order of arrival. */
  granted: number
  /** Time until the turn of the first denied caller; 0 when all were granted. */
  retryAfterMs: number
  /** Time between the turns of denied callers; 0 when all were granted. */
  turnIntervalMs: number
  /** Permits of the account in the last second over all gateways. */
  usedPerSecond: number
}

/** Limits of a meter. */
export type MeterLimits = BucketLimits & TurnLimits

/** Refills in several steps add up to a little less than one refill, so that a caller at its turn would find no whole permit. */
const ROUNDING_PERMITS = 1e-6

/** @returns a meter with this bucket, and without denied callers */
export function createMeter (bucket: Bucket): AccountMeter {
  return { bucket, turns: noTurns(bucket.updatedMs), recentGranted: { tokens: 0, updatedMs: bucket.updatedMs } }
}

/**
 * @param meter - state
 * @param demand - requests that would start
 * @param limits - limits of the bucket and of turns
 * @param nowMs - current time
 * @returns the next state and the grant
 */
export function grantPermits (meter: AccountMeter, { wanted, deniedUnasked }: PermitDemand, limits: MeterLimits, nowMs: number): { meter: AccountMeter, grant: Grant } {
  const { tokens, updatedMs } = refill(meter.bucket, limits, nowMs)
  const granted = Math.min(wanted, Math.floor(tokens + ROUNDING_PERMITS))
  const denied = wanted - granted
  const left = tokens - granted
  const recentGranted = decayed(meter.recentGranted, nowMs) + granted
  const demand = { arrived: wanted + deniedUnasked, refusedBefore: deniedUnasked, refused: denied, ahead: 1 - left }
  const { turns, firstTurnMs, intervalMs } = planTurns(meter.turns, demand, limits, nowMs)
  const usedPerSecond = Math.round(perSecondOf(recentGranted))
  return {
    meter: { bucket: { tokens: left, updatedMs }, turns, recentGranted: { tokens: recentGranted, updatedMs: nowMs } },
    grant: denied === 0
      ? { granted, retryAfterMs: 0, turnIntervalMs: 0, usedPerSecond }
      : { granted, retryAfterMs: Math.ceil(firstTurnMs), turnIntervalMs: Math.ceil(intervalMs), usedPerSecond }
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
