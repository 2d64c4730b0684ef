/** Limits the rate of log lines about successful work. */
import type { Clock } from 'anvilarch-utils'

/** Limits the rate of log lines. */
export interface LogRateLimiter {
  /** @returns whether one more line may be written */
  tryAcquire: () => boolean
}

const WINDOW_MS = 1000

/**
 * Creates a rate limiter with fixed windows of one second.
 *
 * @param clock - local clock
 * @param linesPerSecond - maximum number of lines in each window
 * @returns the rate limiter
 */
export function createLogRateLimiter (clock: Clock, linesPerSecond: number): LogRateLimiter {
  let windowStartMs = -Infinity
  let remaining = 0
  return {
    tryAcquire: () => {
      const nowMs = clock.nowMs()
      if (nowMs - windowStartMs >= WINDOW_MS) {
        windowStartMs = nowMs
        remaining = linesPerSecond
      }
      if (remaining === 0) return false
      remaining--
      return true
    }
  }
}
