/**
 * Wakes the readers of attempts. One timer serves all readers whose output is coalesced, so that tokens of many streams
 * need no timer each. The agent's tick triggers heartbeats through `wakeIdle`.
 */
import type { Clock, Timer } from 'anvilarch-utils'

/** A reader that waits for something to send. */
export interface PumpedReader {
  lastFrameMs: number
  lastOutputMs: number
  /** Resumes the reader. */
  wake: () => void
}

/** Wakes readers. */
export interface FramePump {
  add: (reader: PumpedReader) => void
  remove: (reader: PumpedReader) => void
  /** Called on output for a reader: wakes it at once if it has sent none within the coalescing time, else with the next batch. */
  scheduleWake: (reader: PumpedReader) => void
  /** Wakes each reader that has sent no frame for `idleMs`, so that it sends a heartbeat. */
  wakeIdle: (idleMs: number) => void
  /** Number of readers. */
  size: () => number
}

/**
 * @param clock - the clock
 * @param coalesceMs - time for which the output of a reader is coalesced into one frame
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
