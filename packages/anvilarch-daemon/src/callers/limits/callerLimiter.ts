/** Rate and concurrency limits of each caller, and the concurrency limit of the gateway. */
import { AnvilarchError, type Bucket, type Clock, takeToken } from 'anvilarch-utils'
import { LRUCache } from 'lru-cache'
import type { Account } from './accounts'

/** Admits requests. */
export interface CallerLimiter {
  /**
   * @returns a function to call when the request has ended
   * @throws AnvilarchError with code `rate_limited` or `overloaded`, and with a retry time
   */
  admit: (account: Account) => () => void
  inProgress: () => number
}

/** Options of `createCallerLimiter`. */
export interface CallerLimiterOptions {
  clock: Clock
  /** Maximum number of requests in progress at this gateway, over all callers. */
  maxConcurrentRequests: number
}

/** Maximum number of rate buckets. The least recently used one is evicted; its caller starts again with a full bucket. */
const MAX_BUCKETS = 50_000

/** Retry time after too many concurrent requests, which may end at any moment. */
const CONCURRENCY_RETRY_AFTER_MS = 1_000

/**
 * @param options - clock and limit
 * @returns a limiter without requests
 */
export function createCallerLimiter (options: CallerLimiterOptions): CallerLimiter {
  const buckets = new LRUCache<string, Bucket>({ max: MAX_BUCKETS })
  const concurrent = new Map<string, number>()
  let total = 0

  const takeRateToken = ({ name, limits }: Account): void => {
    const take = takeToken(buckets.get(name), { perSecond: limits.requestsPerSecond, burst: limits.burst }, options.clock.nowMs())
    buckets.set(name, take.bucket)
    if (take.taken) return
    throw new AnvilarchError(`caller "${name}" sends more than ${limits.requestsPerSecond} requests a second`, {
      code: 'rate_limited', step: 'callers.rate', retryAfterMs: take.retryAfterMs
    })
  }

  const release = (name: string): void => {
    total--
    const remaining = (concurrent.get(name) ?? 1) - 1
    if (remaining > 0) concurrent.set(name, remaining)
    else concurrent.delete(name)
  }

  return {
    admit: account => {
      const { name, limits } = account
      if (total >= options.maxConcurrentRequests) {
        throw new AnvilarchError(`this gateway has ${total} requests in progress, which is all it takes`, {
          code: 'overloaded', step: 'callers.concurrency', retryAfterMs: CONCURRENCY_RETRY_AFTER_MS
        })
      }
      const running = concurrent.get(name) ?? 0
      if (running >= limits.maxConcurrent) {
        throw new AnvilarchError(`caller "${name}" has ${running} requests in progress, which is all it may have`, {
          code: 'rate_limited', step: 'callers.concurrency', retryAfterMs: CONCURRENCY_RETRY_AFTER_MS
        })
      }
      takeRateToken(account)
      total++
      concurrent.set(name, running + 1)
      let released = false
      return () => {
        if (!released) release(name)
        released = true
      }
    },
    inProgress: () => total
  }
}
