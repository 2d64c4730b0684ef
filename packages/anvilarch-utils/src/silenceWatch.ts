/** Notices that another side has gone silent, and does not take a pause of this process for that silence. */
import type { Clock, Timer } from './clock'

/** Options of `createSilenceWatch`. */
export interface SilenceWatchOptions {
  clock: Clock
  /** Silence after which the other side is given up. */
  boundMs: number
  /** The other side has been silent for the bound, and this process has listened to the end of it. Called once. */
  onSilence: () => void
  /**
   * The bound has passed, but this process stood still when it should have listened.
   *
   * @param lateMs - how late its timer was
   */
  onOwnPause?: (lateMs: number) => void
  /** @returns whether this side leaves what comes unread, so that hearing nothing says nothing */
  isHeldBack?: () => boolean
}

/** Watches one connection or call. */
export interface SilenceWatch {
  /** Something has come from the other side. Cheap: no timer is set anew. */
  heard: () => void
  /** @param boundMs - the bound from now on */
  setBoundMs: (boundMs: number) => void
  cancel: () => void
}

/** The part of the bound at its end in which this process must have listened, and its upper limit. */
const LAST_LOOK_SHARE = 0.25
const MAX_LAST_LOOK_MS = 100

/** A last look counts when its timer was late by no more than this share of it. */
const MAX_LATE_SHARE = 0.5

/**
 * Time that passes while this process stands still (it is paused, its host is frozen, or something keeps its event loop busy)
 * looks like silence of the other side: timers run before the bytes that wait in the sockets are read. It shows as peers that
 * are given up, asked again or suspected by a process that has just woken up, though they have answered. So the verdict falls
 * only after a last look that began once the bound was nearly over and ended on time; whatever had come was read by then.
 *
 * @param options - clock, bound and listeners
 * @returns a watch that has heard the other side just now
 */
export function createSilenceWatch (options: SilenceWatchOptions): SilenceWatch {
  const { clock } = options
  let { boundMs } = options
  let lastHeardMs = clock.nowMs()
  let timer: Timer

  const lastLookMs = (): number => Math.min(MAX_LAST_LOOK_MS, boundMs * LAST_LOOK_SHARE)

  const arm = (delayMs: number, isLastLook: boolean): void => {
    const dueMs = clock.nowMs() + delayMs
    timer = clock.after(delayMs, () => { onTimer(clock.nowMs() - dueMs, isLastLook) })
  }

  const onTimer = (lateMs: number, isLastLook: boolean): void => {
    if (options.isHeldBack?.() === true) lastHeardMs = clock.nowMs()
    const lookMs = lastLookMs()
    const untilLookMs = lastHeardMs + boundMs - lookMs - clock.nowMs()
    const isLate = lateMs > lookMs * MAX_LATE_SHARE
    if (untilLookMs > 0) {
      arm(untilLookMs, false)
    } else if (isLastLook && !isLate) {
      options.onSilence()
    } else {
      if (isLate) options.onOwnPause?.(lateMs)
      arm(lookMs, true)
    }
  }

  arm(boundMs - lastLookMs(), false)
  return {
    heard: () => { lastHeardMs = clock.nowMs() },
    setBoundMs: newBoundMs => {
      const isShorter = newBoundMs < boundMs
      boundMs = newBoundMs
      if (!isShorter) return
      timer.cancel()
      arm(Math.max(0, lastHeardMs + boundMs - lastLookMs() - clock.nowMs()), false)
    },
    cancel: () => { timer.cancel() }
  }
}
