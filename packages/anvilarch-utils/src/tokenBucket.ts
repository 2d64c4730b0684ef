/** A token bucket as pure functions of its state and the time. */

/** State of a bucket. */
export interface Bucket {
  tokens: number
  updatedMs: number
}

/** Refill rate and size of a bucket. */
export interface BucketLimits {
  perSecond: number
  burst: number
}

/** Result of `takeToken`. */
export interface TakeResult {
  bucket: Bucket
  taken: boolean
  /** Time until the next token is available; 0 if one was taken. */
  retryAfterMs: number
}

const MS_PER_SECOND = 1_000

/**
 * @param bucket - current state
 * @param limits - rate and size
 * @param nowMs - current time
 * @returns the bucket with the tokens added since its last update
 */
export function refill (bucket: Bucket, limits: BucketLimits, nowMs: number): Bucket {
  const gained = Math.max(0, nowMs - bucket.updatedMs) / MS_PER_SECOND * limits.perSecond
  return { tokens: Math.min(limits.burst, bucket.tokens + gained), updatedMs: Math.max(nowMs, bucket.updatedMs) }
}

/**
 * @param bucket - state, or undefined for a full bucket
 * @param limits - rate and size
 * @param nowMs - current time
 * @returns the next state, and whether a token was taken
 */
export function takeToken (bucket: Bucket | undefined, limits: BucketLimits, nowMs: number): TakeResult {
  const { tokens, updatedMs } = refill(bucket ?? { tokens: limits.burst, updatedMs: nowMs }, limits, nowMs)
  if (tokens >= 1) return { bucket: { tokens: tokens - 1, updatedMs }, taken: true, retryAfterMs: 0 }
  const retryAfterMs = limits.perSecond > 0 ? Math.ceil((1 - tokens) / limits.perSecond * MS_PER_SECOND) : MS_PER_SECOND
  return { bucket: { tokens, updatedMs }, taken: false, retryAfterMs }
}
