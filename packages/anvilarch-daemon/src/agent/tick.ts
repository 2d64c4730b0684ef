/** A periodic timer that stops itself when there is nothing to do. */
import type { Clock, Timer } from 'anvilarch-utils'

/** A periodic timer. */
export interface Tick {
  /** Starts the timer; no effect if it runs already. */
  start: () => void
  stop: () => void
}

/** A tick that is late by more than this share of its period indicates a process pause. */
const MAX_LATE_SHARE = 0.5

/**
 * Creates a timer that reports process pauses. The tick after a pause runs before data received during the pause is read,
 * so that it must not treat any peer as unresponsive; the next tick may.
 *
 * @param clock - the clock
 * @param periodMs - time between two ticks
 * @param onTick - receives whether the tick follows a process pause; returns whether another tick is needed
 * @returns the timer, not started
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
