/** Bounds how many lines are written about what went well. */
import type { Clock } from 'anvilarch-utils'

/** Says whether one more line may be written. */
export interface LogRateLimiter {
  tryAcquire: () => boolean
}

const SECOND_MS = 1000

/**
 * @param clock - local clock
 * @param linesPerSecond - lines that are written in any second
 * @returns a budget that is full at the start of each second
 */
export function createLogRateLimiter (clock: Clock, linesPerSecond: number): LogRateLimiter {
  let secondStartMs = -Infinity
  let left = 0
  return {
    tryAcquire: () => {
      const nowMs = clock.nowMs()
      if (nowMs - secondStartMs >= SECOND_MS) {
        secondStartMs = nowMs
        left = linesPerSecond
      }
      if (left === 0) return false
      left--
      return true
    }
  }
}
