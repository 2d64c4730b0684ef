/**
 * Wakes the readers of attempts: one timer for all that have output to be joined, so that a token of each of many
 * streams costs no timer of its own. Heartbeats come from the agent's tick through `heartbeat`.
 */
import type { Clock, Timer } from 'anvilarch-utils'

/** A reader that waits for something to send. */
export interface PumpedReader {
  lastFrameMs: number
  lastOutputMs: number
  /** Ends the wait of the reader. */
  wake: () => void
}

/** Wakes readers. */
export interface FramePump {
  add: (reader: PumpedReader) => void
  remove: (reader: PumpedReader) => void
  /** There is output for a reader: it wakes at once if it sent none lately, else with all others that wait. */
  scheduleWake: (reader: PumpedReader) => void
  /** Wakes each reader that has been quiet so long that its next heartbeat must not wait for another tick. */
  wakeIdle: (idleMs: number) => void
  /** How many readers there are. */
  size: () => number
}

/**
 * @param clock - the clock
 * @param coalesceMs - how long output of one reader is joined
 * @returns a pump without readers
 */
export function createFramePump (clock: Clock, coalesceMs: number): FramePump {
  const readers = new Set<PumpedReader>()
  const pending = new Set<PumpedReader>()
  let timer: Timer | undefined

  const flush = (): void => {
    timer = undefined
    const due = [...pending]
    pending.clear()
    for (const reader of due) reader.wake()
  }

  return {
    add: reader => { readers.add(reader) },
    remove: reader => {
      readers.delete(reader)
      pending.delete(reader)
    },
    scheduleWake: reader => {
      if (clock.nowMs() - reader.lastOutputMs >= coalesceMs) {
        reader.wake()
        return
      }
      pending.add(reader)
      timer ??= clock.after(coalesceMs, flush)
    },
    wakeIdle: idleMs => {
      const beforeMs = clock.nowMs() - idleMs
      for (const reader of readers) {
        if (reader.lastFrameMs <= beforeMs) reader.wake()
      }
    },
    size: () => readers.size
  }
}
