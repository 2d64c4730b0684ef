/** Requests that were read as a whole and ended without a complete answer. */
import type { ClientRequest, EndpointRun, Evidence } from './types'

/** Part of the rule by which a cut request counts: "once it has been passed on" or "later than loss-slack-ms after its last byte was sent". */
export type LossPart = 'passed_on' | 'later_than_slack'

/**
 * @param evidence - observations of the run
 * @param request - the request
 * @returns its runs, in order of arrival
 */
export function runsOf (evidence: Evidence, request: ClientRequest): EndpointRun[] {
  return evidence.runs.filter(run => run.requestId === request.requestId).sort((first, second) => first.arrivedAtMs - second.arrivedAtMs)
}

/**
 * "A process has read a whole request and the connection ends without a complete answer, either once it has been passed on to a replica, or
 * later than loss-slack-ms after its last byte was sent."
 *
 * A client cannot observe whether the process has read a request that was not passed on, so that each request that was sent as a whole on an
 * accepted connection counts as read. Any run counts as passed on, also one that arrives after the end of the connection.
 *
 * @param evidence - observations of the run
 * @param request - the request
 * @returns the part by which the request counts; undefined if it was answered, refused before it was accepted, or not sent as a whole
 */
export function lossPartOf (evidence: Evidence, request: ClientRequest): LossPart | undefined {
  if (request.end === 'complete' || request.end === 'refused' || request.sentAtMs === undefined) return undefined
  if (evidence.runs.some(run => run.requestId === request.requestId)) return 'passed_on'
  return request.endedAtMs - request.sentAtMs > evidence.bounds.lossSlackMs ? 'later_than_slack' : undefined
}
