/** Exceptions of the rule LOST around planned work. */
import { runsOf } from './cutRequest'
import type { ClientRequest, EndpointRun, Evidence, Signal } from './types'

export type Exception = 'client_left' | 'sent_after_close' | 'broke_off' | 'time_is_up' | 'at_work_in_last_sixth' | 'disruption'

type ExceptionCheck = (evidence: Evidence, request: ClientRequest) => boolean

/** "Sent no later than 3 s after the SIGTERM." */
const LONG_RUN_SENT_WITHIN_MS = 3_000

/** "The last sixth of grace-s" is the grace period divided by this. */
const LAST_SIXTH_DIVISOR = 6

/** The client closed the connection itself, so that it does not end by the process. */
const clientLeft: ExceptionCheck = (_evidence, request) => request.end === 'left'

/**
 * "A request that crosses your close and isn't passed on doesn't count." A client that has received `Connection: close` must not send another
 * request on that connection. A request that was begun before it received that head counts.
 */
const sentAfterClose: ExceptionCheck = (evidence, request) =>
  request.closeAnnouncedAtMs !== undefined && request.sendBeganAtMs >= request.closeAnnouncedAtMs && runsOf(evidence, request).length === 0

/**
 * "The replica broke off." The last run that was not rejected is the one that has to have broken off, before the connection ended, and no other run
 * may have been complete or in progress. "A replica's silence is no reason to end an answer sooner": a run without progress is no exception.
 */
const brokeOff: ExceptionCheck = (evidence, request) => {
  const runs = runsOf(evidence, request).filter(run => run.end !== 'rejected')
  const last = runs.at(-1)
  if (last?.end !== 'broke_off' || last.endedAtMs === undefined || last.endedAtMs > request.endedAtMs) return false
  return !runs.some(run => run.end === 'complete' || run.endedAtMs === undefined || run.endedAtMs > request.endedAtMs)
}

/** "The deadline or the route's timeout was reached", counted from the first byte of the request. */
const timeIsUp: ExceptionCheck = (_evidence, request) =>
  request.endedAtMs - request.sendBeganAtMs >= Math.min(request.deadlineMs, request.routeTimeoutMs)

/**
 * "The replica was still at work in the last sixth of grace-s on a request that was sent no later than 3 s after the SIGTERM."
 *
 * Sent is the time of the last byte. At work is a run that has begun and was not complete when the connection ended; a run that waits for a slot is
 * not at work. The connection has to end in the last sixth or later, since a run may outlast it.
 */
const atWorkInLastSixth: ExceptionCheck = (evidence, request) => {
  const stops = evidence.signals.filter(signal => signal.signal === 'SIGTERM' && signal.machine === request.gateway)
  const runs = runsOf(evidence, request)
  return stops.some(stop => sentInTime(request, stop) && runs.some(run => isAtWork(evidence, request, run, stop)))
}

function sentInTime (request: ClientRequest, stop: Signal): boolean {
  return request.sentAtMs !== undefined && request.sentAtMs <= stop.atMs + LONG_RUN_SENT_WITHIN_MS
}

function isAtWork ({ bounds }: Evidence, request: ClientRequest, run: EndpointRun, stop: Signal): boolean {
  const graceEndMs = stop.atMs + bounds.graceMs
  const lastSixthFromMs = graceEndMs - bounds.graceMs / LAST_SIXTH_DIVISOR
  if (run.end === 'rejected' || run.beganAtMs === undefined || run.beganAtMs > graceEndMs) return false
  if (request.endedAtMs < lastSixthFromMs) return false
  const runEndedAtMs = run.endedAtMs ?? Infinity
  return runEndedAtMs >= lastSixthFromMs && (run.end !== 'complete' || runEndedAtMs >= request.endedAtMs)
}

/** "With no unplanned disruption from contact-ms before the request to its end." The request is from its first byte to the end of its connection. */
const disruption: ExceptionCheck = ({ bounds, disruptions }, request) =>
  disruptions.some(({ fromMs, toMs }) => toMs >= request.sendBeganAtMs - bounds.contactMs && fromMs <= request.endedAtMs)

/** In the order in which they are named in reports. */
const EXCEPTIONS: Record<Exception, ExceptionCheck> = {
  client_left: clientLeft,
  sent_after_close: sentAfterClose,
  time_is_up: timeIsUp,
  broke_off: brokeOff,
  at_work_in_last_sixth: atWorkInLastSixth,
  disruption
}

/**
 * @param evidence - observations of the run
 * @param request - the request
 * @returns the first exception that applies to a request without a complete answer; undefined if none does or the request was answered
 */
export function excusedBy (evidence: Evidence, request: ClientRequest): Exception | undefined {
  if (request.end === 'complete') return undefined
  for (const [name, applies] of Object.entries(EXCEPTIONS) as Array<[Exception, ExceptionCheck]>) if (applies(evidence, request)) return name
  return undefined
}
