/** An inactivity timeout for connections and calls that does not expire because of a pause of this process. */
import type { Clock, Timer } from './clock'

/** Options of `createInactivityTimeout`. */
export interface InactivityTimeoutOptions {
  clock: Clock
  /** Time without activity after which the remote side counts as unresponsive. */
  timeoutMs: number
  /** Called once, when the timeout has expired and this process was running, and so able to read, at its end. */
  onTimeout: () => void
  /**
   * Called when the time is over but this process was paused at its end.
   *
   * @param lateMs - delay with which the timer fired
   */
  onProcessPause?: (lateMs: number) => void
  /** @returns whether this side has paused reading, so that missing data does not count as inactivity */
  isReadingPaused?: () => boolean
}

/** Inactivity timeout of one connection or call. */
export interface InactivityTimeout {
  /** Records that data has arrived. Cheap, since no timer is reset. */
  recordActivity: () => void
  /** @param timeoutMs - timeout from now on */
  setTimeoutMs: (timeoutMs: number) => void
  cancel: () => void
}

/** Share of the timeout, at its end, during which this process must have been running, and its upper limit. */
const FINAL_CHECK_SHARE = 0.25
const MAX_FINAL_CHECK_MS = 100

/** The final check is valid if its timer fired late by no more than this share of the check's duration. */
const MAX_LATE_SHARE = 0.5

/**
 * A pause of this process (it is stopped, its host is frozen, or its event loop is blocked) looks like inactivity of the remote
 * side, since timers fire before the bytes that wait in the sockets are read. A process that resumes would then abort, retry or
 * suspect peers that have responded. So the timeout expires only after a final check that starts shortly before the end of the
 * time and whose timer fires on time; all data that arrived before has been read by then.
 *
 * @param options - clock, timeout and listeners
 * @returns a running timeout
 */
export function createInactivityTimeout (options: InactivityTimeoutOptions): InactivityTimeout {
  const { clock } = options
  let { timeoutMs } = options
  let lastActivityMs = clock.nowMs()
  let timer: Timer

  const finalCheckMs = (): number => Math.min(MAX_FINAL_CHECK_MS, timeoutMs * FINAL_CHECK_SHARE)

  const arm = (delayMs: number, isFinalCheck: boolean): void => {
    const dueMs = clock.nowMs() + delayMs
    timer = clock.after(delayMs, () => { onTimer(clock.nowMs() - dueMs, isFinalCheck) })
  }

  const onTimer = (lateMs: number, isFinalCheck: boolean): void => {
    if (options.isReadingPaused?.() === true) lastActivityMs = clock.nowMs()
    const checkMs = finalCheckMs()
    const untilCheckMs = lastActivityMs + timeoutMs - checkMs - clock.nowMs()
    const isLate = lateMs > checkMs * MAX_LATE_SHARE
    if (untilCheckMs > 0) {
      arm(untilCheckMs, false)
    } else if (isFinalCheck && !isLate) {
      options.onTimeout()
    } else {
      if (isLate) options.onProcessPause?.(lateMs)
      arm(checkMs, true)
    }
  }

  arm(timeoutMs - finalCheckMs(), false)
  return {
    recordActivity: () => { lastActivityMs = clock.nowMs() },
    setTimeoutMs: newTimeoutMs => {
      const isShorter = newTimeoutMs < timeoutMs
      timeoutMs = newTimeoutMs
      if (!isShorter) return
      timer.cancel()
      arm(Math.max(0, lastActivityMs + timeoutMs - finalCheckMs() - clock.nowMs()), false)
    },
    cancel: () => { timer.cancel() }
  }
}
