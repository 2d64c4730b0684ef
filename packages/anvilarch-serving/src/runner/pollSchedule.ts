/** Schedules the polls of the local engine: soon after a change at the engine, and otherwise periodically. */
import { type Clock, sleep } from 'anvilarch-utils'

/** Schedule of polls. */
export interface PollSchedule {
  /** Requests a poll, after a change at the engine, as soon as the shortest pause allows. */
  request: () => void
  /** @returns a promise that resolves when the next poll is due, or the signal aborts */
  next: (signal: AbortSignal) => Promise<void>
}

/** Options of `createPollSchedule`. */
export interface PollScheduleOptions {
  clock: Clock
  /** Shortest pause between two polls. */
  minPauseMs: number
  /** Called after each poll. @returns the longest pause until the next one */
  maxPauseMs: () => number
}

/**
 * @param options - clock and pauses
 * @returns a schedule whose first poll is due immediately
 */
export function createPollSchedule (options: PollScheduleOptions): PollSchedule {
  const { clock } = options
  let lastPollMs = -Infinity
  let requested = true
  let wake = (): void => {}

  const waitUntilRequested = async (untilMs: number, signal: AbortSignal): Promise<void> => {
    const waiting = new AbortController()
    wake = () => waiting.abort()
    signal.addEventListener('abort', wake, { once: true })
    await sleep(clock, Math.max(0, untilMs - clock.nowMs()), waiting.signal)
    signal.removeEventListener('abort', wake)
  }

  return {
    request: () => {
      requested = true
      wake()
    },
    next: async signal => {
      if (!requested) await waitUntilRequested(lastPollMs + options.maxPauseMs(), signal)
      const remainingPauseMs = lastPollMs + options.minPauseMs - clock.nowMs()
      if (remainingPauseMs > 0) await sleep(clock, remainingPauseMs, signal)
      requested = false
      lastPollMs = clock.nowMs()
    }
  }
}
