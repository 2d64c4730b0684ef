/** The drain of this process as its requests see it. */
import type { Clock } from 'anvilarch-utils'
import { type DrainSchedule, drainSchedule } from './drainSchedule'

/** Whether the process drains, and until when. Responses of a draining process carry `Connection: close`. */
export interface DrainState {
  isDraining: () => boolean
  /** @returns the times of the drain; undefined before the stop signal */
  schedule: () => DrainSchedule | undefined
  /**
   * Registers a listener that ends a request when the drain ends.
   *
   * @returns removes the listener
   */
  onEnd: (listener: () => void) => () => void
}

/** A drain state and the functions of its owner. */
export interface OwnedDrainState extends DrainState {
  /** Starts the drain. Only the first call takes effect. @returns its times */
  start: (graceMs: number) => DrainSchedule
  /** Ends the requests that are still in progress. */
  end: () => void
}

/**
 * @param clock - local clock
 * @returns the state of a process that does not drain
 */
export function createDrainState (clock: Clock): OwnedDrainState {
  let schedule: DrainSchedule | undefined
  const listeners = new Set<() => void>()
  return {
    isDraining: () => schedule !== undefined,
    schedule: () => schedule,
    onEnd: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    start: graceMs => {
      schedule ??= drainSchedule(clock.nowMs(), graceMs)
      return schedule
    },
    end: () => { for (const listener of [...listeners]) listener() }
  }
}

/**
 * @param clock - local clock
 * @param drainState - state of the process
 * @returns time since the stop signal for log lines, in whole milliseconds; undefined if the process does not drain
 */
export function drainElapsedMs (clock: Clock, drainState: Pick<DrainState, 'schedule'>): number | undefined {
  const schedule = drainState.schedule()
  return schedule === undefined ? undefined : Math.round(clock.nowMs() - schedule.signalAtMs)
}
