/** Learns how long items take, to tell which can still be done in time. */

/** What is learned from items that have ended. */
export interface RunTimeEstimator {
  /** A run has made so many events in this time. */
  onRun: (events: number, elapsedMs: number) => void
  /** An item of so many tokens has ended with this many events in all. */
  onItemCompleted: (tokens: number, events: number) => void
  /** The engine holds nothing of before, and may be faster or slower: its pace is to be learned anew. */
  onEngineRestart: () => void
  /** @returns time between two events; undefined until something has been learned */
  eventIntervalMs: () => number | undefined
  /** @returns estimate of the time that is left to run, here or at an engine of another pace; 0 until something has been learned */
  remainingMs: (tokens: number, lastEventId: number, eventMs?: number) => number
}

/** Weight of the newest item. An engine's pace changes within seconds, but single items differ by a quarter. */
const SMOOTHING = 0.2

/** Fewer events than this say little: their time is mostly that of reading the prompt. */
const MIN_EVENTS = 3

/** @returns a pace that has learned nothing */
export function createRunTimeEstimator (): RunTimeEstimator {
  let ownEventMs: number | undefined
  let eventsPerToken: number | undefined
  const smooth = (previous: number | undefined, next: number): number =>
    previous === undefined ? next : previous + SMOOTHING * (next - previous)
  return {
    onRun: (events, elapsedMs) => {
      if (events >= MIN_EVENTS) ownEventMs = smooth(ownEventMs, elapsedMs / events)
    },
    onItemCompleted: (tokens, events) => {
      if (tokens > 0) eventsPerToken = smooth(eventsPerToken, events / tokens)
    },
    onEngineRestart: () => { ownEventMs = undefined },
    eventIntervalMs: () => ownEventMs,
    remainingMs: (tokens, lastEventId, eventMs = ownEventMs) => {
      if (eventMs === undefined || eventsPerToken === undefined) return 0
      return Math.max(0, tokens * eventsPerToken - lastEventId) * eventMs
    }
  }
}
