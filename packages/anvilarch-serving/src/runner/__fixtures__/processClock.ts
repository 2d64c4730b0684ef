/** The clock of a process that may stand still while the time of all others goes on. */
import type { Clock } from 'anvilarch-utils'

/** The clock, and what else wakes the process. */
export interface ProcessClock extends Clock {
  /** Runs something that comes from outside: now, or as soon as the process goes on. */
  whenRunning: (action: () => void) => void
  /** Nothing of the process runs for so long. Then timers that have come due run first, and what has come from outside next. */
  freeze: (durationMs: number) => void
}

/**
 * @param clock - of all processes
 * @returns the clock of one of them
 */
export function createProcessClock (clock: Clock): ProcessClock {
  let stillUntilMs = -Infinity
  const timers: Array<() => void> = []
  const arrivals: Array<() => void> = []
  const isStill = (): boolean => clock.nowMs() < stillUntilMs

  /** One at a time, so that promises settle in between. */
  const catchUp = (): void => {
    if (isStill()) return
    const action = timers.shift() ?? arrivals.shift()
    if (action === undefined) return
    action()
    clock.after(0, catchUp)
  }

  const runOrKeep = (kept: Array<() => void>, action: () => void): void => {
    if (isStill() || timers.length + arrivals.length > 0) kept.push(action)
    else action()
  }

  return {
    nowMs: clock.nowMs,
    wallMs: clock.wallMs,
    after: (delayMs, onFire) => {
      let isCancelled = false
      const timer = clock.after(delayMs, () => runOrKeep(timers, () => { if (!isCancelled) onFire() }))
      return {
        cancel: () => {
          isCancelled = true
          timer.cancel()
        }
      }
    },
    whenRunning: action => runOrKeep(arrivals, action),
    freeze: durationMs => {
      stillUntilMs = Math.max(stillUntilMs, clock.nowMs() + durationMs)
      clock.after(durationMs, catchUp)
    }
  }
}
