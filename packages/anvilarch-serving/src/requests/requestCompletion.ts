/** Ends one client request, once: its answer, its metrics and its line in the log. */
import { cutAnswer } from 'anvilarch-utils'
import { accountNameOf } from '../accounts/types'
import { type DrainState, type GatewayResponse, sendGatewayResponse } from './clientResponse'
import type { ClientRequest, ForwardParts, RequestState } from './forwardTypes'
import type { AnswerEnd } from '../telemetry/events'
import type { TrafficOutcome } from '../telemetry/trafficCounters'
import { elapsedMs } from './requestLog'
import type { EndpointResponse } from './runAttempt'

/** Fields of the line about the end of a request. */
type EndFields = Record<string, string | number | boolean | undefined> & { answerEnd?: AnswerEnd }

/**
 * The end of one request. Whatever comes after the first end is ignored. An answer whose head the client has ends as complete only
 * by `completeEvents`; every other end closes its connection.
 */
export interface RequestCompletion {
  hasEnded: () => boolean
  /** Answers from this process, or with the failure that an endpoint has answered before. */
  respond: (own: GatewayResponse) => void
  /** Hands on what an endpoint has answered as a whole. */
  respondFromEndpoint: (endpointId: string, whole: EndpointResponse) => void
  /** All events of the answer have been handed on. */
  completeEvents: (endpointId: string) => void
  /** Closes the connection, so that the answer cannot look complete. */
  abortConnection: (reason: string) => void
  clientLeft: () => void
}

/** Status of every answer that is handed on in events. */
const EVENTS_STATUS = 200

/** From this status on an answer tells the client that its request has failed. */
const FIRST_ERROR_STATUS = 400

/** Ends that are no failure of the request; `refused` means that it has not run. */
const TRAFFIC_ENDS: ReadonlyMap<string, TrafficOutcome> = new Map([
  ['overloaded', 'refused'], ['not_run', 'refused'], ['no_endpoint', 'refused'], ['quarantined', 'refused'], ['over_rate', 'refused'], ['unauthorized', 'refused'], ['client_left', 'left']
])

/** Tell the client that its request has not run and never will. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([429, 503])

/**
 * @param parts - clock, log and metrics
 * @param client - the request
 * @param state - how far it has come
 * @param onEnd - called once, before anything is answered
 * @returns the ways in which the request ends
 */
export function createRequestCompletion (parts: ForwardParts, client: ClientRequest, state: RequestState, onEnd: () => void): RequestCompletion {
  const { clock, log, metrics, drainState } = parts
  const { response, route, metadata } = client
  let ended = false

  const logEnd = (outcome: string, fields: EndFields): void => {
    log.info('request ended', {
      requestId: metadata.requestId,
      route: route.name,
      account: accountNameOf(client.caller),
      kind: route.kind,
      outcome,
      configurationVersion: client.configurationVersion,
      attempts: state.attemptsThatMayHaveRun,
      offers: state.sendCount,
      lastEventId: state.lastEventId,
      ...state.responseStarted ? { eventCount: state.eventCount, firstEventId: state.firstEventId } : {},
      firstEventMs: state.firstEventAtMs === undefined ? undefined : Math.round(state.firstEventAtMs - client.arrivedAtMs),
      elapsedMs: elapsedMs(clock, client.arrivedAtMs),
      ...fields
    })
  }

  const isLate = (): boolean => {
    const onTimeMs = client.arrivedAtMs + route.latencyObjectiveMs
    const gapTooLong = route.gapObjectiveMs > 0 && state.longestGapMs > route.gapObjectiveMs
    return gapTooLong || (state.firstEventAtMs ?? clock.nowMs()) > onTimeMs
  }

  const trafficEnd = (outcome: string): TrafficOutcome => {
    if (outcome === 'answered') return isLate() ? 'late' : 'answered'
    return TRAFFIC_ENDS.get(outcome) ?? 'failed'
  }

  /** @returns how the client sees the end of its answer; undefined while it has no head */
  const seenAs = (answerEnd: AnswerEnd): AnswerEnd | undefined => state.responseStarted ? answerEnd : undefined

  /** @returns whether this is the first end */
  const end = (outcome: string, fields: EndFields = {}): boolean => {
    if (ended) return false
    ended = true
    onEnd()
    metrics.requests.inc({ kind: route.kind, service: state.service ?? 'none', outcome })
    metrics.requestSeconds.observe({ kind: route.kind }, (clock.nowMs() - client.arrivedAtMs) / 1000)
    if (fields.answerEnd !== undefined) metrics.begunAnswers.inc({ end: fields.answerEnd, outcome })
    if (state.longestGapMs > 0) metrics.longestGapSeconds.observe(state.longestGapMs / 1000)
    const result = trafficEnd(outcome)
    parts.traffic.onEnd(result)
    const wentWell = result === 'answered'
    if (!wentWell) state.requestLog.flush()
    if (wentWell && !parts.logRateLimiter.tryAcquire()) metrics.logLinesLeftOut.inc()
    else logEnd(outcome, result === 'late' ? { ...fields, late: true } : fields)
    return true
  }

  const breakOff = (reason: string): void => {
    if (end('broken_off', { reason, answerEnd: seenAs('cut') })) cutAnswer(response)
  }

  return {
    hasEnded: () => ended,
    respond: own => {
      const failed = state.failedResponse
      if (state.responseStarted) breakOff(own.code)
      else if (failed !== undefined) {
        // An endpoint has answered, if only with a failure: that is what the client gets, not one of our own.
        if (end('endpoint_status', { endpoint: failed.endpointId, status: failed.whole.status })) sendWhole(client, failed.whole, drainState)
      } else if (end(own.code, { status: own.status })) {
        if (REFUSED_STATUSES.has(own.status)) metrics.refusals.inc({ kind: route.kind, reason: own.code })
        sendGatewayResponse(response, own, drainState)
      }
    },
    respondFromEndpoint: (endpointId, whole) => {
      const outcome = whole.status < FIRST_ERROR_STATUS ? 'answered' : 'endpoint_status'
      if (state.responseStarted) breakOff('whole_answer')
      else if (end(outcome, { endpoint: endpointId, status: whole.status })) sendWhole(client, whole, drainState)
    },
    completeEvents: endpointId => {
      if (end('answered', { endpoint: endpointId, status: EVENTS_STATUS, answerEnd: 'complete' })) response.end()
    },
    abortConnection: breakOff,
    clientLeft: () => {
      end('client_left', { answerEnd: seenAs('left') })
    }
  }
}

function sendWhole ({ request, response }: ClientRequest, whole: EndpointResponse, drainState: DrainState): void {
  if (drainState.isDraining()) response.setHeader('Connection', 'close')
  const headers = [...whole.rawHeaders]
  if (request.method !== 'HEAD' && whole.status !== 204 && whole.status !== 304) headers.push('Content-Length', String(whole.body.length))
  response.writeHead(whole.status, headers)
  response.end(whole.body)
}
