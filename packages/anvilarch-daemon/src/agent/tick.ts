/** A periodic tick that stops by itself when there is nothing to do. */
import type { Clock, Timer } from 'anvilarch-utils'

/** A tick. */
export interface Tick {
  /** Runs from now on; nothing changes when it runs already. */
  start: () => void
  stop: () => void
}

/** A tick that is late by more than this share of its period follows a pause of this process. */
const MAX_LATE_SHARE = 0.5

/**
 * A tick that follows a pause runs before the bytes that have come meanwhile are read, so that it must take nobody for
 * silent; the next one may.
 *
 * @param clock - the clock
 * @param periodMs - time between two ticks
 * @param onTick - told whether this process has just stood still; returns whether another tick is needed
 * @returns a tick that does not run yet
 */
export function createTick (clock: Clock, periodMs: number, onTick: (afterPause: boolean) => boolean): Tick {
  let timer: Timer | undefined
  let dueMs = 0
  const arm = (): Timer => {
    dueMs = clock.nowMs() + periodMs
    return clock.after(periodMs, fire)
  }
  const fire = (): void => {
    const afterPause = clock.nowMs() - dueMs > periodMs * MAX_LATE_SHARE
    timer = arm()
    if (onTick(afterPause)) return
    timer.cancel()
    timer = undefined
  }
  return {
    start: () => { timer ??= arm() },
    stop: () => {
      timer?.cancel()
      timer = undefined
    }
  }
}
