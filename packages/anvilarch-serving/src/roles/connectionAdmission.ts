/** Decides whether a gateway takes new connections while far more than usual come to it. Free of I/O. */
import type { Clock } from 'anvilarch-utils'

/** Rate of new connections and responsiveness of this process. */
export interface ConnectionAdmission {
  /** Counts a new connection. @returns whether it is to be served; otherwise it is closed before its request is read */
  admit: () => boolean
  /** Records how late a timer of this process has fired. */
  onTimerLateness: (latenessMs: number) => void
}

/** Connections per second count as usual up to this rate, which any gateway can serve. */
export const MIN_USUAL_PER_SECOND = 5

/** A multiple of the usual rate shows that most connections of a zone come to this gateway, so that others have room for their retries. */
export const EXCESS_FACTOR = 2

/** Clients abandon an attempt whose request has not been read after this time, or after this part of their time. */
const MAX_UNREAD_MS = 1000
const MAX_UNREAD_FRACTION = 1 / 3

/** A late timer is evidence for this long. */
export const LATENESS_RETENTION_MS = 500

/** Seconds over which the usual rate is averaged. A flood of some seconds hardly changes the average. */
export const USUAL_SECONDS = 30

const SECOND_MS = 1000

/** Share of the usual rate that a new second contributes. */
const SMOOTHING = 1 / USUAL_SECONDS

/**
 * @param timeoutsMs - timeouts of the routes
 * @returns how late a process may read requests before clients of one of the routes abandon them
 */
export function latenessLimitMs (timeoutsMs: readonly number[]): number {
  return Math.min(MAX_UNREAD_MS, ...timeoutsMs.map(timeoutMs => timeoutMs * MAX_UNREAD_FRACTION))
}

/**
 * Serving a request late costs its caller more than a closed connection, after which it goes to another gateway at once. Overload
 * at the usual rate is not refused here: the other gateways are then as busy as this one.
 *
 * @param clock - local clock
 * @param maxLatenessMs - returns how late a process may read requests
 * @returns an admission for a process that has just started
 */
export function createConnectionAdmission (clock: Clock, maxLatenessMs: () => number): ConnectionAdmission {
  const startedAtMs = clock.nowMs()
  let usualPerSecond: number | undefined
  let secondStartedAtMs = startedAtMs
  let countInSecond = 0
  let lateUntilMs = -Infinity

  const limitPerSecond = (): number => EXCESS_FACTOR * Math.max(MIN_USUAL_PER_SECOND, usualPerSecond ?? Infinity)

  const closeSecond = (nowMs: number): void => {
    const elapsedSeconds = (nowMs - secondStartedAtMs) / SECOND_MS
    if (elapsedSeconds < 1) return
    const perSecond = Math.min(countInSecond / elapsedSeconds, limitPerSecond())
    const weight = Math.min(1, SMOOTHING * elapsedSeconds)
    usualPerSecond = usualPerSecond === undefined ? perSecond : usualPerSecond + weight * (perSecond - usualPerSecond)
    secondStartedAtMs = nowMs
    countInSecond = 0
  }

  /** The rate of a process that has just started is not known. */
  const isUsualKnown = (nowMs: number): boolean => nowMs - startedAtMs >= USUAL_SECONDS * SECOND_MS / 2

  return {
    admit: () => {
      const nowMs = clock.nowMs()
      closeSecond(nowMs)
      countInSecond++
      if (nowMs >= lateUntilMs || !isUsualKnown(nowMs)) return true
      return countInSecond <= limitPerSecond()
    },
    onTimerLateness: latenessMs => {
      if (latenessMs > maxLatenessMs()) lateUntilMs = clock.nowMs() + LATENESS_RETENTION_MS
    }
  }
}
