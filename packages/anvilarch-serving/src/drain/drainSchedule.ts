/** Decides when a draining gateway stops taking requests and when it ends those in progress. Free of I/O. */

/** Clients keep sending for this long after readiness fails: two failed probes at one per second, and a margin. */
export const DRAIN_ACCEPT_MS = 2600

/** Time between the end of the last request and the kill of the process, for final responses and the end of the process. */
export const STOP_MARGIN_MS = 700

/** Times of a drain, on the local clock. */
export interface DrainSchedule {
  signalAtMs: number
  /** Clients send new requests until this time. */
  acceptUntilMs: number
  /** Requests that are still in progress are ended at this time. */
  endAtMs: number
}

/**
 * @param signalAtMs - local time of the stop signal
 * @param graceMs - time from the signal until the process is killed
 * @returns the times of the drain
 */
export function drainSchedule (signalAtMs: number, graceMs: number): DrainSchedule {
  const endAtMs = signalAtMs + Math.max(0, graceMs - STOP_MARGIN_MS)
  return { signalAtMs, acceptUntilMs: Math.min(endAtMs, signalAtMs + DRAIN_ACCEPT_MS), endAtMs }
}

/** When work would start, and the latest time at which it ends. */
export interface WorkTimes {
  nowMs: number
  limitAtMs: number
}

/**
 * Decides whether a gateway may begin work whose loss its client would notice: a request that is sent to an endpoint, or a job call.
 * While clients still send new requests, all are served, since most end long before their limits. Later ones must end in time.
 *
 * @param schedule - times of the drain; undefined if the gateway does not drain
 * @param work - start and limit of the work
 * @returns whether it may begin
 */
export function mayBegin (schedule: DrainSchedule | undefined, { nowMs, limitAtMs }: WorkTimes): boolean {
  return schedule === undefined || nowMs < schedule.acceptUntilMs || limitAtMs <= schedule.endAtMs
}
