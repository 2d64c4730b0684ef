/** Spaces out what is sent to an engine that refuses, or breaks off before the first event. */
import type { Clock } from 'anvilarch-utils'

/**
 * Counts sends in a row that made no event.
 *
 * Answers an engine that refuses all it gets, as one does that has restarted and is not listed yet, or is full:
 * sent at each look at the engine, an item costs fifty messages a second, and others are claimed only to be refused too.
 */
export interface StartBackoff {
  onFailedStart: () => void
  onEvent: () => void
  /** Forgets the sends so far, as when the engine has been started anew. */
  reset: () => void
  /** @returns whether something may be sent again */
  mayStart: () => boolean
}

/** First pause: two looks at the engine. */
export const MIN_BACKOFF_MS = 40

/** Longest pause; an engine that has restarted is listed within about a second. */
export const MAX_BACKOFF_MS = 640

/**
 * @param fruitlessRuns - sends in a row without an event
 * @returns pause before the next one
 */
export function backoffMs (fruitlessRuns: number): number {
  return fruitlessRuns === 0 ? 0 : Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (fruitlessRuns - 1))
}

/**
 * @param clock - local clock
 * @returns no refusals yet
 */
export function createStartBackoff (clock: Clock): StartBackoff {
  let fruitlessRuns = 0
  let lastAtMs = -Infinity
  const mayStart = (): boolean => clock.nowMs() >= lastAtMs + backoffMs(fruitlessRuns)
  const reset = (): void => { fruitlessRuns = 0 }
  return {
    onFailedStart: () => {
      // Items that were sent together fail together, and tell no more than one of them.
      if (!mayStart()) return
      fruitlessRuns++
      lastAtMs = clock.nowMs()
    },
    onEvent: reset,
    reset,
    mayStart
  }
}
