/**
 * Measures the pace of the local engine from two successive reports of its runs.
 *
 * Load: engines of one service whose paces differ by a factor of two and more, and engines that are slow for half a second. The
 * runs of all gateways and of this agent are in the report, so the pace is known after two polls.
 */
import type { EngineRun } from '../roles/types'

/** Pace of an engine. */
export interface PaceMeter {
  /** Records the runs of a report that was requested at this time. */
  onReport: (runs: readonly EngineRun[], requestedAtMs: number) => void
  /** Discards all measurements: a restarted engine may be faster or slower. */
  onRestart: () => void
  /** @returns the time between two events of a run in ms; undefined without a recent measurement */
  eventIntervalMs: (nowMs: number) => number | undefined
}

/** Older samples lose weight with this time constant. Engines are slow for half a second and more. */
const SAMPLE_DECAY_MS = 300

/** Fewer events than this are too few to tell engines apart: a single event may be up to one interval early or late. */
const MIN_EVENTS = 4

/** Without a run for this long the pace is unknown, so that an engine that has been slow gets requests again. */
export const PACE_MAX_AGE_MS = 1500

/** @returns a meter without measurements */
export function createPaceMeter (): PaceMeter {
  let previous: { events: ReadonlyMap<string, number>, atMs: number } | undefined
  let runMs = 0
  let events = 0
  let measuredAtMs = -Infinity

  const reset = (): void => {
    previous = undefined
    runMs = 0
    events = 0
    measuredAtMs = -Infinity
  }

  const addSample = (runs: readonly EngineRun[], before: ReadonlyMap<string, number>, elapsedMs: number): number => {
    let count = 0
    for (const run of runs) {
      const eventsBefore = before.get(run.requestId)
      // A run without events is still reading its prompt.
      if (eventsBefore === undefined || eventsBefore === 0 || run.events < eventsBefore) continue
      runMs += elapsedMs
      events += run.events - eventsBefore
      count++
    }
    return count
  }

  return {
    onReport: (runs, requestedAtMs) => {
      const last = previous
      previous = { events: new Map(runs.map(run => [run.requestId, run.events])), atMs: requestedAtMs }
      if (last === undefined || requestedAtMs <= last.atMs) return
      const elapsedMs = requestedAtMs - last.atMs
      const kept = Math.exp(-elapsedMs / SAMPLE_DECAY_MS)
      runMs *= kept
      events *= kept
      if (addSample(runs, last.events, elapsedMs) > 0) measuredAtMs = requestedAtMs
    },
    onRestart: reset,
    eventIntervalMs: nowMs => {
      if (nowMs - measuredAtMs > PACE_MAX_AGE_MS) return undefined
      // An engine that has stopped producing events has no pace, but it is at least as slow as the time without one.
      if (events < MIN_EVENTS) return runMs > MIN_EVENTS * SAMPLE_DECAY_MS ? runMs / Math.max(1, events) : undefined
      return runMs / events
    }
  }
}
