/** A clock that advances only on request, for tests and the emulator. */
import type { Clock, Timer } from './clock'

interface PendingTimer {
  dueMs: number
  sequence: number
  onFire: () => void
}

/** A clock with methods to advance its time. */
export interface FakeClock extends Clock {
  /** Advances the time and fires the timers that are due, in order. */
  advance: (deltaMs: number) => void
  /** Like `advance`, but lets pending promises settle between timers. */
  advanceAsync: (deltaMs: number) => Promise<void>
  /** Advances the time without firing timers, as in a process pause. Timers that are due fire late, at the next `advance`. */
  stall: (deltaMs: number) => void
  /** @returns how many timers are pending */
  pendingCount: () => number
}

/**
 * @param startMs - initial monotonic and wall time
 * @returns a clock that is stopped until it is advanced
 */
export function createFakeClock (startMs = 0): FakeClock {
  let currentMs = startMs
  let sequence = 0
  const pending = new Set<PendingTimer>()

  const nextDue = (untilMs: number): PendingTimer | undefined => {
    let first: PendingTimer | undefined
    for (const timer of pending) {
      if (timer.dueMs > untilMs) continue
      if (first === undefined || timer.dueMs < first.dueMs || (timer.dueMs === first.dueMs && timer.sequence < first.sequence)) {
        first = timer
      }
    }
    return first
  }

  const fire = (timer: PendingTimer): void => {
    pending.delete(timer)
    currentMs = Math.max(currentMs, timer.dueMs)
    timer.onFire()
  }

  return {
    nowMs: () => currentMs,
    wallMs: () => currentMs,
    after: (delayMs, onFire): Timer => {
      const timer = { dueMs: currentMs + Math.max(0, delayMs), sequence: sequence++, onFire }
      pending.add(timer)
      return { cancel: () => { pending.delete(timer) } }
    },
    advance: deltaMs => {
      const untilMs = currentMs + deltaMs
      for (let timer = nextDue(untilMs); timer !== undefined; timer = nextDue(untilMs)) fire(timer)
      currentMs = untilMs
    },
    advanceAsync: async deltaMs => {
      const untilMs = currentMs + deltaMs
      await settlePromises()
      for (let timer = nextDue(untilMs); timer !== undefined; timer = nextDue(untilMs)) {
        fire(timer)
        await settlePromises()
      }
      currentMs = untilMs
      await settlePromises()
    },
    stall: deltaMs => { currentMs += deltaMs },
    pendingCount: () => pending.size
  }
}

/** Depth of the promise chains that settle between two timers. */
const SETTLE_ROUNDS = 20

async function settlePromises (): Promise<void> {
  for (let round = 0; round < SETTLE_ROUNDS; round++) await Promise.resolve()
}
