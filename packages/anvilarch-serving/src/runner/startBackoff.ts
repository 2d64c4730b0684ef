/** Backs off from an engine that refuses requests, or fails before the first event. */
import type { Clock } from 'anvilarch-utils'

/**
 * Counts consecutive starts of items that produced no event.
 *
 * An engine refuses all requests when it is full, or when it has restarted and is not listed yet. Without a backoff, an item
 * sent at each poll of the engine costs fifty messages a second, and further items are claimed only to be refused too.
 */
export interface StartBackoff {
  onFailedStart: () => void
  onEvent: () => void
  /** Resets the count, for example after a restart of the engine. */
  reset: () => void
  /** @returns whether an item may be started now */
  mayStart: () => boolean
}

/** First backoff: two polls of the engine. */
export const MIN_BACKOFF_MS = 40

/** Longest backoff; a restarted engine is listed within about a second. */
export const MAX_BACKOFF_MS = 640

/**
 * @param failedStarts - consecutive starts without an event
 * @returns time in ms until the next start
 */
export function backoffMs (failedStarts: number): number {
  return failedStarts === 0 ? 0 : Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (failedStarts - 1))
}

/**
 * @param clock - local clock
 * @returns a backoff without failed starts
 */
export function createStartBackoff (clock: Clock): StartBackoff {
  let failedStarts = 0
  let lastFailureAtMs = -Infinity
  const mayStart = (): boolean => clock.nowMs() >= lastFailureAtMs + backoffMs(failedStarts)
  const reset = (): void => { failedStarts = 0 }
  return {
    onFailedStart: () => {
      // Items that were started together fail together, and count as one failed start.
      if (!mayStart()) return
      failedStarts++
      lastFailureAtMs = clock.nowMs()
    },
    onEvent: reset,
    reset,
    mayStart
  }
}
