/** Counts what an account is granted against a limit of rate. Pure: state and time in, next state and verdict out. */
import { type Bucket, type BucketLimits, refill } from 'anvilarch-utils'

/** State of a meter. */
export interface AccountMeter {
  bucket: Bucket
  /** Requests that were turned away and have not had time to be granted since: whoever comes back waits behind them. */
  backlog: Bucket
}

/** What a gateway gets of the requests that it has asked for. */
export interface Grant {
  granted: number
  /** When there is room for one that was turned away; 0 when all were granted. */
  retryAfterMs: number
}

const MS_PER_SECOND = 1000

/** A caller that is turned away comes back sooner than this, or not at all. */
const MAX_RETRY_AFTER_MS = 5000

/** @returns a meter with this much to grant */
export function createMeter (bucket: Bucket): AccountMeter {
  return { bucket, backlog: { tokens: 0, updatedMs: bucket.updatedMs } }
}

/**
 * @param meter - state
 * @param wanted - requests that would start
 * @param limits - of the account
 * @param nowMs - present time
 * @returns the next state, and what is granted
 */
export function grantPermits (meter: AccountMeter, wanted: number, limits: BucketLimits, nowMs: number): { meter: AccountMeter, grant: Grant } {
  const { tokens, updatedMs } = refill(meter.bucket, limits, nowMs)
  const granted = Math.min(wanted, Math.floor(tokens))
  const bucket = { tokens: tokens - granted, updatedMs }
  const passedMs = Math.max(0, nowMs - meter.backlog.updatedMs)
  const backlog = Math.max(0, meter.backlog.tokens - passedMs / MS_PER_SECOND * limits.perSecond) + wanted - granted
  const waitMs = limits.perSecond > 0 ? (1 - bucket.tokens + backlog) / limits.perSecond * MS_PER_SECOND : MAX_RETRY_AFTER_MS
  return {
    meter: { bucket, backlog: { tokens: backlog, updatedMs: nowMs } },
    grant: { granted, retryAfterMs: granted === wanted ? 0 : Math.ceil(Math.min(MAX_RETRY_AFTER_MS, waitMs)) }
  }
}

/**
 * @param meter - state
 * @param count - requests that were granted and have not run
 * @param limits - of the account
 * @returns the next state
 */
export function refundPermits (meter: AccountMeter, count: number, limits: BucketLimits): AccountMeter {
  return { ...meter, bucket: { ...meter.bucket, tokens: Math.min(limits.burst, meter.bucket.tokens + count) } }
}
