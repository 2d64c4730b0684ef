/** When an agent looks at the engine beside it: soon after something has changed there, and else from time to time. */
import { type Clock, sleep } from 'anvilarch-utils'

/** The schedule of looks. */
export interface PollSchedule {
  /** Something has changed: look as soon as the shortest pause allows. */
  request: () => void
  /** @returns a promise that resolves when it is time for the next look, or the signal aborts */
  next: (signal: AbortSignal) => Promise<void>
}

/** Options of `createPollSchedule`. */
export interface PollScheduleOptions {
  clock: Clock
  /** Shortest pause between two looks. */
  minPauseMs: number
  /** Asked after each look: longest pause until the next one. */
  maxPauseMs: () => number
}

/**
 * @param options - clock and pauses
 * @returns a schedule whose first look is due at once
 */
export function createPollSchedule (options: PollScheduleOptions): PollSchedule {
  const { clock } = options
  let lastLookMs = -Infinity
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
      if (!requested) await waitUntilRequested(lastLookMs + options.maxPauseMs(), signal)
      const tooEarlyMs = lastLookMs + options.minPauseMs - clock.nowMs()
      if (tooEarlyMs > 0) await sleep(clock, tooEarlyMs, signal)
      requested = false
      lastLookMs = clock.nowMs()
    }
  }
}
