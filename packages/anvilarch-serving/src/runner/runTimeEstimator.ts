/** Estimates how long items run, to decide which can still end in time. */

/** Estimates run times from the event intervals of runs and the event counts of completed items. */
export interface RunTimeEstimator {
  /** Records that a run has produced `events` events in `elapsedMs`. */
  onRun: (events: number, elapsedMs: number) => void
  /** Records that an item of `tokens` tokens has completed with `events` events in total. */
  onItemCompleted: (tokens: number, events: number) => void
  /** Discards the event interval: a restarted engine has lost its state and may be faster or slower. */
  onEngineRestart: () => void
  /** @returns the time between two events in ms; undefined before the first sample */
  eventIntervalMs: () => number | undefined
  /** @returns the estimated remaining run time in ms, at this engine or at one with another event interval; 0 before the first samples */
  remainingMs: (tokens: number, lastEventId: number, intervalMs?: number) => number
}

/** Weight of the newest sample. The event interval of an engine changes within seconds, but single items differ by a quarter. */
const SMOOTHING = 0.2

/** Samples with fewer events are ignored: most of their time goes into reading the prompt. */
const MIN_EVENTS = 3

/** @returns an estimator without samples */
export function createRunTimeEstimator (): RunTimeEstimator {
  let ownIntervalMs: number | undefined
  let eventsPerToken: number | undefined
  const smooth = (previous: number | undefined, next: number): number =>
    previous === undefined ? next : previous + SMOOTHING * (next - previous)
  return {
    onRun: (events, elapsedMs) => {
      if (events >= MIN_EVENTS) ownIntervalMs = smooth(ownIntervalMs, elapsedMs / events)
    },
    onItemCompleted: (tokens, events) => {
      if (tokens > 0) eventsPerToken = smooth(eventsPerToken, events / tokens)
    },
    onEngineRestart: () => { ownIntervalMs = undefined },
    eventIntervalMs: () => ownIntervalMs,
    remainingMs: (tokens, lastEventId, intervalMs = ownIntervalMs) => {
      if (intervalMs === undefined || eventsPerToken === undefined) return 0
      return Math.max(0, tokens * eventsPerToken - lastEventId) * intervalMs
    }
  }
}
