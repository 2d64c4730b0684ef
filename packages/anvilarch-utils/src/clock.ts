/** The source of time. Code that waits or measures time takes a `Clock`, so that tests can use a fake one. */

/** A pending timer. */
export interface Timer {
  cancel: () => void
}

/** Current time and timers, in milliseconds. */
export interface Clock {
  /** Monotonic time in milliseconds. Not comparable between processes. */
  nowMs: () => number
  /** Milliseconds since the Unix epoch, for display. Not for leases or deadlines. */
  wallMs: () => number
  /** Calls `onFire` once after `delayMs`, never earlier. */
  after: (delayMs: number, onFire: () => void) => Timer
}

/** A timer of Node.js with a longer delay fires at once. Longer ones are started again when it has passed. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** A point in time by both local clocks: the monotonic one stops while the host is suspended, the wall clock may be set back. */
export interface Moment {
  monotonicMs: number
  wallMs: number
}

/** @returns the current moment */
export function momentNow (clock: Clock): Moment {
  return { monotonicMs: clock.nowMs(), wallMs: clock.wallMs() }
}

/** @returns time since the moment in milliseconds, including the time for which this host was suspended */
export function ageMs (clock: Clock, moment: Moment): number {
  return Math.max(clock.nowMs() - moment.monotonicMs, clock.wallMs() - moment.wallMs)
}

/** @returns a clock on the system time. Its timers do not keep the process running. */
export function createSystemClock (): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    after: (delayMs, onFire) => {
      const dueAtMs = performance.now() + delayMs
      const fire = (): void => {
        // Timers of Node.js count whole milliseconds of a cached time, so that they may fire up to one early.
        const leftMs = dueAtMs - performance.now()
        if (leftMs > 0) handle = start(leftMs)
        else onFire()
      }
      const start = (timeMs: number): NodeJS.Timeout => setTimeout(fire, Math.min(MAX_TIMER_MS, Math.max(0, timeMs))).unref()
      let handle = start(delayMs)
      return { cancel: () => clearTimeout(handle) }
    }
  }
}

/**
 * @param clock - the clock to wait on
 * @param delayMs - how long
 * @param signal - ends the wait early
 * @returns a promise that resolves after the delay, or as soon as the signal aborts
 */
export function sleep (clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted === true) {
      resolve()
      return
    }
    const finish = (): void => {
      timer.cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = clock.after(delayMs, finish)
    signal?.addEventListener('abort', finish, { once: true })
  })
}
