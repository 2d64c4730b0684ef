/** The clock of a process that may be paused while the time of all others continues. */
import type { Clock } from 'anvilarch-utils'

/** The clock, with the other events that wake the process. */
export interface ProcessClock extends Clock {
  /** Runs an action that comes from outside the process: now, or as soon as the process continues. */
  whenRunning: (action: () => void) => void
  /** Pauses the process for this long. Then timers that are due run first, and actions from outside next. */
  pause: (durationMs: number) => void
}

/**
 * @param clock - clock shared by all processes
 * @returns the clock of one process
 */
export function createProcessClock (clock: Clock): ProcessClock {
  let pausedUntilMs = -Infinity
  const timers: Array<() => void> = []
  const arrivals: Array<() => void> = []
  const isPaused = (): boolean => clock.nowMs() < pausedUntilMs

  /** Runs one queued action at a time, so that promises settle in between. */
  const catchUp = (): void => {
    if (isPaused()) return
    const action = timers.shift() ?? arrivals.shift()
    if (action === undefined) return
    action()
    clock.after(0, catchUp)
  }

  const runOrQueue = (queue: Array<() => void>, action: () => void): void => {
    if (isPaused() || timers.length + arrivals.length > 0) queue.push(action)
    else action()
  }

  return {
    nowMs: clock.nowMs,
    wallMs: clock.wallMs,
    after: (delayMs, onFire) => {
      let isCancelled = false
      const timer = clock.after(delayMs, () => runOrQueue(timers, () => { if (!isCancelled) onFire() }))
      return {
        cancel: () => {
          isCancelled = true
          timer.cancel()
        }
      }
    },
    whenRunning: action => runOrQueue(arrivals, action),
    pause: durationMs => {
      pausedUntilMs = Math.max(pausedUntilMs, clock.nowMs() + durationMs)
      clock.after(durationMs, catchUp)
    }
  }
}
