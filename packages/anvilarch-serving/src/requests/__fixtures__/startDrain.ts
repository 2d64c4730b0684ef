/** Plays the drain of a gateway on a fake clock. */
import type { FakeClock } from 'anvilarch-utils'
import { createDrainState, type DrainState } from '../../drain/drainState'

/** When a gateway gets its stop signal, from now, and the length of its grace period. */
export interface DrainTimes {
  signalAtMs: number
  graceMs: number
}

/** @returns the state of the drain, whose signal may lie in the past */
export function startDrain (clock: FakeClock, drain: DrainTimes | undefined): DrainState {
  const startedAtMs = clock.nowMs()
  let isSignalled = false
  // The state takes the time of the signal from its clock.
  const state = createDrainState({ ...clock, nowMs: () => isSignalled ? clock.nowMs() : startedAtMs + (drain?.signalAtMs ?? 0) })
  if (drain === undefined) return state
  const signal = (): void => {
    const { endAtMs } = state.start(drain.graceMs)
    isSignalled = true
    clock.after(Math.max(0, endAtMs - clock.nowMs()), () => state.end())
  }
  if (drain.signalAtMs <= 0) signal()
  else clock.after(drain.signalAtMs, signal)
  return state
}
