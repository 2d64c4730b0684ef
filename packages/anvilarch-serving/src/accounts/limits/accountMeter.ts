/** Counts the permits of an account against its rate limit, as pure functions from state and time to the next state. */
import { type Bucket, type BucketLimits, refill } from 'anvilarch-utils'

/** State of a meter. */
export interface AccountMeter {
  bucket: Bucket
  /** Denied requests that the rate has not yet made room for; the retry delay of further denied requests includes them. */
  backlog: Bucket
}

/** Permits granted for the requests of a gateway. */
export interface Grant {
  granted: number
  /** Time until there is room for a denied request; 0 when all were granted. */
  retryAfterMs: number
}

const MS_PER_SECOND = 1000

/** Callers that are denied retry within this time or not at all. */
const MAX_RETRY_AFTER_MS = 5000

/** @returns a meter with this bucket and no backlog */
export function createMeter (bucket: Bucket): AccountMeter {
  return { bucket, backlog: { tokens: 0, updatedMs: bucket.updatedMs } }
}

/**
 * @param meter - state
 * @param wanted - number of requests that would start
 * @param limits - limits of the bucket
 * @param nowMs - current time
 * @returns the next state and the grant
 */
export function grantPermits (meter: AccountMeter, wanted: number, limits: BucketLimits, nowMs: number): { meter: AccountMeter, grant: Grant } {
  const { tokens, updatedMs } = refill(meter.bucket, limits, nowMs)
  const granted = Math.min(wanted, Math.floor(tokens))
  const bucket = { tokens: tokens - granted, updatedMs }
  const elapsedMs = Math.max(0, nowMs - meter.backlog.updatedMs)
  const backlog = Math.max(0, meter.backlog.tokens - elapsedMs / MS_PER_SECOND * limits.perSecond) + wanted - granted
  const waitMs = limits.perSecond > 0 ? (1 - bucket.tokens + backlog) / limits.perSecond * MS_PER_SECOND : MAX_RETRY_AFTER_MS
  return {
    meter: { bucket, backlog: { tokens: backlog, updatedMs: nowMs } },
    grant: { granted, retryAfterMs: granted === wanted ? 0 : Math.ceil(Math.min(MAX_RETRY_AFTER_MS, waitMs)) }
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
