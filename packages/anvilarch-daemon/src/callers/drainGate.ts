/** Decides which requests a draining gateway still runs. The decision is free of I/O. */
import { setMaxListeners } from 'node:events'
import { AnvilarchError, type Clock } from 'anvilarch-utils'

/** Duration of the phases of a drain. */
export interface DrainOptions {
  /** Time in which the load balancer still sends requests. */
  readinessLeadMs: number
  /** Maximum time after it until the last request is complete. */
  drainTimeoutMs: number
}

/** Times of a drain. */
export interface DrainTimes {
  /** Requests are run without a condition until then. */
  acceptUntilMs: number
  /** Requests whose body is not complete by then are rejected. */
  rejectUnreadAtMs: number
  /** Requests in progress are cut then. */
  cutAtMs: number
}

/** Rejects requests that cannot be completed before the drain ends. */
export interface DrainGate {
  /**
   * To be called when a request is complete, right before it is run.
   *
   * @param deadlineMs - time by which the request is answered in any case
   * @throws AnvilarchError with code `draining` if the drain may cut the request
   */
  check: (deadlineMs: number) => void
  /** Aborted, with an `AnvilarchError` as its reason, when incomplete requests are rejected. */
  unreadRejected: AbortSignal
}

/** A gate that a drain can close. */
export interface ClosableGate extends DrainGate {
  startDrain: (options: DrainOptions) => void
  /** Releases the timer of the drain. */
  close: () => void
}

/** Time to send a response after the deadline of its request, or after its rejection. */
const RESPONSE_MS = 1_000

/** The caller is expected to reach another gateway. */
const RETRY_AFTER_MS = 1_000

/**
 * @param nowMs - time of the stop signal
 * @param options - duration of the phases
 * @returns the times of the drain
 */
export function drainTimes (nowMs: number, { readinessLeadMs, drainTimeoutMs }: DrainOptions): DrainTimes {
  const acceptUntilMs = nowMs + readinessLeadMs
  const cutAtMs = acceptUntilMs + drainTimeoutMs
  return { acceptUntilMs, rejectUnreadAtMs: Math.max(acceptUntilMs, cutAtMs - RESPONSE_MS), cutAtMs }
}

/**
 * @param times - times of the drain; undefined if there is none
 * @param nowMs - current time
 * @param deadlineMs - time by which the request is answered in any case
 * @returns whether a request that is complete now is run
 */
export function isRun (times: DrainTimes | undefined, nowMs: number, deadlineMs: number): boolean {
  return times === undefined || nowMs < times.acceptUntilMs || deadlineMs + RESPONSE_MS <= times.cutAtMs
}

/**
 * @param clock - clock of the gateway
 * @returns a gate that lets every request pass until a drain starts
 */
export function createDrainGate (clock: Clock): ClosableGate {
  const rejecting = new AbortController()
  // Each request adds a listener while its body is read.
  setMaxListeners(0, rejecting.signal)
  let times: DrainTimes | undefined
  let timer: { cancel: () => void } | undefined
  return {
    check: deadlineMs => {
      if (!isRun(times, clock.nowMs(), deadlineMs)) throw rejection()
    },
    unreadRejected: rejecting.signal,
    startDrain: options => {
      const nowMs = clock.nowMs()
      times = drainTimes(nowMs, options)
      timer = clock.after(times.rejectUnreadAtMs - nowMs, () => { rejecting.abort(rejection()) })
    },
    close: () => { timer?.cancel() }
  }
}

function rejection (): AnvilarchError {
  return new AnvilarchError('this gateway is stopping, and the request might not be complete before it ends', {
    code: 'draining', step: 'callers.drain', ran: 'not_run', retryAfterMs: RETRY_AFTER_MS
  })
}
