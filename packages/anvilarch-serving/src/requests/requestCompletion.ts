/** Ends a client request exactly once: its response, its metrics and its log line. */
import { abortResponse } from 'anvilarch-utils'
import { accountNameOf } from '../accounts/types'
import { drainElapsedMs, type DrainState } from '../drain/drainState'
import { closeAfterLastResponse, type GatewayResponse, sendGatewayResponse } from './clientResponse'
import type { ClientRequest, ForwardParts, RequestState } from './forwardTypes'
import type { AnswerEnd } from '../telemetry/events'
import type { TrafficOutcome } from '../telemetry/trafficCounters'
import { elapsedMs } from './requestLog'
import type { EndpointResponse } from './runAttempt'

/** Fields of the `request ended` log line that depend on the outcome. */
type EndFields = Record<string, string | number | boolean | undefined> & { answerEnd?: AnswerEnd }

/**
 * Ends one request. Only the first call takes effect. A response whose head has been sent to the client completes only by
 * `completeStream`; every other end closes the connection or finds it closed by the client.
 */
export interface RequestCompletion {
  hasEnded: () => boolean
  /** Sends a response of this gateway, or the failure response that an endpoint has sent before. */
  respond: (gatewayResponse: GatewayResponse) => void
  /** Sends the buffered response of an endpoint. */
  respondFromEndpoint: (endpointId: string, endpointResponse: EndpointResponse) => void
  /** Ends a stream after its last event has been forwarded. */
  completeStream: (endpointId: string) => void
  /** Closes the connection, so that the response does not look complete. */
  abortConnection: (reason: string) => void
  clientDisconnected: () => void
}

/** Status of every response that is forwarded as a stream. */
const STREAM_STATUS = 200

/** Lowest status that reports a failure of the request. */
const FIRST_ERROR_STATUS = 400

/** Outcomes that do not count as failures; `refused` means that the request has not run. */
const TRAFFIC_ENDS: ReadonlyMap<string, TrafficOutcome> = new Map([
  ['overloaded', 'refused'], ['not_run', 'refused'], ['no_endpoint', 'refused'], ['quarantined', 'refused'], ['over_rate', 'refused'], ['unauthorized', 'refused'],
  ['stopping', 'refused'], ['origin_unknown', 'refused'], ['service_not_routed', 'refused'], ['client_left', 'left'], ['broken_off', 'cut']
])

/** Statuses that tell the client that its request has not run and never will. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([429, 503])

/**
 * @param parts - clock, log and metrics
 * @param client - the request
 * @param state - progress of the request
 * @param onEnd - called once, before any response is sent
 * @returns the functions that end the request
 */
export function createRequestCompletion (parts: ForwardParts, client: ClientRequest, state: RequestState, onEnd: () => void): RequestCompletion {
  const { clock, log, metrics, drainState } = parts
  const { response, route, metadata } = client
  let ended = false

  const logEnd = (outcome: string, fields: EndFields): void => {
    log.info('request ended', {
      requestId: metadata.requestId,
      outcome,
      drainMs: drainElapsedMs(clock, drainState),
      elapsedMs: elapsedMs(clock, client.arrivedAtMs),
      ...fields,
      ...state.isEndUnconfirmed ? { isEndUnconfirmed: true } : {},
      route: route.name,
      account: accountNameOf(client.caller),
      kind: route.kind,
      resumesRequestId: metadata.resumesRequestId,
      configurationVersion: client.configurationVersion,
      attempts: state.ranAt.size,
      offers: state.sendCount,
      lastEventId: state.lastEventId,
      ...state.responseStarted ? { eventCount: state.eventCount, firstEventId: state.firstEventId, softwareVersion: state.origin?.softwareVersion } : {},
      firstEventMs: state.firstEventAtMs === undefined ? undefined : Math.round(state.firstEventAtMs - client.arrivedAtMs)
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

  /** @returns how the response ends for the client; undefined if its head has not been sent */
  const endForClient = (answerEnd: AnswerEnd): AnswerEnd | undefined => state.responseStarted ? answerEnd : undefined

  /** @returns whether this call has ended the request */
  const finish = (outcome: string, fields: EndFields = {}): boolean => {
    if (ended) return false
    ended = true
    onEnd()
    metrics.requests.inc({ kind: route.kind, service: state.service ?? 'none', outcome })
    metrics.requestSeconds.observe({ kind: route.kind }, (clock.nowMs() - client.arrivedAtMs) / 1000)
    if (fields.answerEnd !== undefined) metrics.begunAnswers.inc({ end: fields.answerEnd, outcome })
    if (state.longestGapMs > 0) metrics.longestGapSeconds.observe(state.longestGapMs / 1000)
    const result = trafficEnd(outcome)
    parts.traffic.onEnd(result)
    const succeeded = result === 'answered'
    if (!succeeded) state.requestLog.flush()
    if (succeeded && !parts.logRateLimiter.tryAcquire()) metrics.logLinesLeftOut.inc()
    else logEnd(outcome, result === 'late' ? { ...fields, late: true } : fields)
    return true
  }

  const abortConnection = (reason: string): void => {
    if (finish('broken_off', { reason, answerEnd: endForClient('cut') })) abortResponse(response)
  }

  return {
    hasEnded: () => ended,
    respond: gatewayResponse => {
      const failed = state.failedResponse
      if (state.responseStarted) abortConnection(gatewayResponse.code)
      else if (failed !== undefined) {
        // A failure response of an endpoint takes precedence over one of the gateway.
        if (finish('endpoint_status', { status: failed.response.status, endpoint: failed.endpointId })) sendEndpointResponse(client, failed.response, drainState)
      } else if (finish(gatewayResponse.code, { status: gatewayResponse.status })) {
        if (REFUSED_STATUSES.has(gatewayResponse.status)) metrics.refusals.inc({ kind: route.kind, reason: gatewayResponse.code })
        sendGatewayResponse(response, gatewayResponse, drainState)
      }
    },
    respondFromEndpoint: (endpointId, endpointResponse) => {
      const outcome = endpointResponse.status < FIRST_ERROR_STATUS ? 'answered' : 'endpoint_status'
      if (state.responseStarted) abortConnection('whole_answer')
      else if (finish(outcome, { status: endpointResponse.status, endpoint: endpointId })) sendEndpointResponse(client, endpointResponse, drainState)
    },
    completeStream: endpointId => {
      if (finish('answered', { status: STREAM_STATUS, answerEnd: 'complete', endpoint: endpointId })) response.end()
    },
    abortConnection,
    clientDisconnected: () => {
      finish('client_left', { answerEnd: endForClient('left') })
    }
  }
}

function sendEndpointResponse ({ request, response }: ClientRequest, endpointResponse: EndpointResponse, drainState: DrainState): void {
  closeAfterLastResponse(response, drainState)
  const headers = [...endpointResponse.rawHeaders]
  if (request.method !== 'HEAD' && endpointResponse.status !== 204 && endpointResponse.status !== 304) headers.push('Content-Length', String(endpointResponse.body.length))
  response.writeHead(endpointResponse.status, headers)
  response.end(endpointResponse.body)
}
