/** Counts how often each prompt part was in a request that an endpoint completed lately. Free of I/O. */
import type { Clock } from 'anvilarch-utils'

/** Recent completions by prompt part. */
export interface CompletionCounts {
  add: (part: string) => void
  /** @returns number of completions within one to two periods */
  count: (part: string) => number
}

/** Length of a period. The counts cover the current period and the one before. */
export const COUNT_PERIOD_MS = 30_000

/** Limit on the parts of a period, about 100 bytes each. Parts beyond it are not counted. */
export const MAX_COUNTED_PARTS = 10_000

/**
 * @param clock - local clock
 * @returns counts of 0
 */
export function createCompletionCounts (clock: Clock): CompletionCounts {
  let current = new Map<string, number>()
  let previous = new Map<string, number>()
  let periodEndsAtMs = clock.nowMs() + COUNT_PERIOD_MS

  const rotate = (): void => {
    const nowMs = clock.nowMs()
    if (nowMs < periodEndsAtMs) return
    previous = nowMs < periodEndsAtMs + COUNT_PERIOD_MS ? current : new Map()
    current = new Map()
    periodEndsAtMs = nowMs + COUNT_PERIOD_MS
  }

  return {
    add: part => {
      rotate()
      const count = current.get(part)
      if (count !== undefined || current.size < MAX_COUNTED_PARTS) current.set(part, (count ?? 0) + 1)
    },
    count: part => {
      rotate()
      return (current.get(part) ?? 0) + (previous.get(part) ?? 0)
    }
  }
}
