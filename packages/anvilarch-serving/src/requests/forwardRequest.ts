/** Takes one client request through its attempts until it is answered. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock, Logger, Timer } from 'anvilarch-utils'
import { chooseEndpoint } from '../endpoints/chooseEndpoint'
import type { ConnectionPools } from '../endpoints/connectionPools'
import type { EndpointTable } from '../endpoints/endpointTable'
import type { LoadTable } from '../endpoints/loadTable'
import type { Endpoint, RequestMetadata, Route } from '../model/types'
import { chooseService } from '../routing/matchRoute'
import type { LineBudget } from '../telemetry/lineBudget'
import type { ServingMetrics } from '../telemetry/metrics'
import { type AttemptFailure, isRepeatable, nextStep, silenceLimitMs } from './attemptDecision'
import { type ClosingNotice, type OwnAnswer, sendOwnAnswer } from './clientAnswer'
import { type Attempt, type AttemptAnswer, startAttempt } from './runAttempt'
import type { HoldTimes } from './holdTimes'
import { checkOverload } from './overload'
import type { RequestWire } from './types'

/** Parts that forwarding needs. */
export interface ForwardParts {
  clock: Clock
  log: Logger
  metrics: ServingMetrics
  endpoints: EndpointTable
  loads: LoadTable
  pools: ConnectionPools
  wire: RequestWire
  notice: ClosingNotice
  holdTimes: HoldTimes
  /** Bounds the lines about requests that went well. */
  lines: LineBudget
  ownFailureDomain: string
  draw: () => number
}

/** A client request that has been read. */
export interface ClientRequest {
  request: IncomingMessage
  response: ServerResponse
  body: Buffer
  metadata: RequestMetadata
  route: Route
  configurationVersion: number
  /** Local time at which the head had arrived. */
  arrivedAtMs: number
}

/** When a refused client may come back: slots free up within some hundred milliseconds. */
const REFUSED_RETRY_AFTER_MS = 300

/** When there is no endpoint at all; a replaced one is listed after about a heartbeat. */
const NO_ENDPOINT_RETRY_AFTER_MS = 800

/** Endpoints answer failures of their own with this status or a higher one. */
const FIRST_FAILURE_STATUS = 500

/** How often a request that an endpoint has refused as full is offered to others. */
const MAX_OFFERS = 6

/**
 * Answers a client request from an endpoint.
 *
 * @param parts - endpoints, connections and wire
 * @param client - the request
 */
export function forwardRequest (parts: ForwardParts, client: ClientRequest): void {
  const { clock, loads, log } = parts
  const { route, response, metadata } = client
  const limitMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
  const deadlineAtMs = client.arrivedAtMs + limitMs
  const tried = new Set<string>()
  const service = chooseService(route.targets, parts.draw())
  let attempt: Attempt | undefined
  let attemptsThatMayHaveRun = 0
  let offers = 0
  let lastEventId = metadata.lastEventId
  let answerBegun = false
  let firstEventAtMs: number | undefined
  let failedAnswer: AttemptAnswer | undefined
  let finished = false
  let silence: Timer | undefined

  const remainingMs = (): number => deadlineAtMs - clock.nowMs()

  const finish = (outcome: string, fields: Record<string, string | number | undefined> = {}): void => {
    if (finished) return
    finished = true
    expiry.cancel()
    silence?.cancel()
    parts.metrics.requests.inc({ kind: route.kind, outcome })
    parts.metrics.requestSeconds.observe({ kind: route.kind }, (clock.nowMs() - client.arrivedAtMs) / 1000)
    if (outcome === 'answered' && !parts.lines.take()) {
      parts.metrics.logLinesLeftOut.inc()
      return
    }
    log.info('request ended', {
      requestId: metadata.requestId,
      route: route.name,
      kind: route.kind,
      outcome,
      configurationVersion: client.configurationVersion,
      attempts: attemptsThatMayHaveRun,
      offers,
      lastEventId,
      elapsedMs: Math.round(clock.nowMs() - client.arrivedAtMs),
      ...fields
    })
  }

  const answer = (own: OwnAnswer): void => {
    if (failedAnswer !== undefined) {
      // An endpoint has answered, if only with a failure: that is what the client gets, not one of our own.
      finish('endpoint_status', { status: failedAnswer.status })
      sendWhole(response, failedAnswer, parts.notice)
      return
    }
    finish(own.code, { status: own.status })
    sendOwnAnswer(response, own, parts.notice)
  }

  const breakOff = (reason: string): void => {
    finish('broken_off', { reason })
    response.destroy()
  }

  const onFailure = (endpoint: Endpoint, failure: AttemptFailure, reason: string): void => {
    attempt = undefined
    silence?.cancel()
    loads.onEnded(endpoint.id)
    if (failure === 'may_have_run') attemptsThatMayHaveRun++
    if (reason !== 'refused') loads.onFailure(endpoint.id)
    parts.metrics.attemptFailures.inc({ kind: route.kind, reason })
    log.info('attempt failed', { requestId: metadata.requestId, endpoint: endpoint.id, failure, reason, lastEventId, remainingMs: Math.round(remainingMs()) })
    const candidate = offers < MAX_OFFERS && service !== undefined && choose(service) !== undefined
    const step = nextStep(route, failure, { attemptsThatMayHaveRun, answerBegun, hasUntriedEndpoint: candidate, remainingMs: remainingMs() })
    STEPS[step](reason)
  }

  const STEPS = {
    send_again: () => send(),
    refuse: (reason: string) => answer({ status: 503, code: 'not_run', message: `no endpoint took the request (${reason})`, retryAfterMs: REFUSED_RETRY_AFTER_MS }),
    fail: (reason: string) => answer({ status: 502, code: 'endpoint_failed', message: `the endpoint gave no whole answer (${reason})` }),
    time_out: (reason: string) => answer({ status: 504, code: 'timeout', message: `no whole answer within ${limitMs} ms (${reason})` }),
    break_off: (reason: string) => breakOff(reason)
  }

  const choose = (ofService: string): Endpoint | undefined => chooseEndpoint({
    candidates: parts.endpoints.usable(ofService),
    loadOf: loads.loadOf,
    excluded: tried,
    sharedParts: metadata.promptParts.slice(0, -1),
    ownFailureDomain: parts.ownFailureDomain,
    draw: parts.draw
  })

  const watchSilence = (endpoint: Endpoint): void => {
    silence?.cancel()
    if (!isRepeatable(route) || attemptsThatMayHaveRun + 1 >= route.maxAttempts) return
    silence = clock.after(silenceLimitMs(route, answerBegun), () => {
      if (attempt === undefined || service === undefined || choose(service) === undefined) return
      attempt.abort()
      onFailure(endpoint, 'may_have_run', 'silent')
    })
  }

  /** Goes elsewhere after a failure that the endpoint has answered itself, if that is allowed. @returns whether it does */
  const triesElsewhere = (endpoint: Endpoint, whole: AttemptAnswer): boolean => {
    if (whole.status < FIRST_FAILURE_STATUS || answerBegun) return false
    attemptsThatMayHaveRun++
    loads.onFailure(endpoint.id)
    const candidate = service !== undefined && choose(service) !== undefined
    const step = nextStep(route, 'may_have_run', { attemptsThatMayHaveRun, answerBegun, hasUntriedEndpoint: candidate, remainingMs: remainingMs() })
    if (step !== 'send_again') return false
    log.info('attempt failed', { requestId: metadata.requestId, endpoint: endpoint.id, failure: 'may_have_run', reason: `status ${whole.status}`, remainingMs: Math.round(remainingMs()) })
    parts.metrics.attemptFailures.inc({ kind: route.kind, reason: 'endpoint_status' })
    failedAnswer = whole
    send()
    return true
  }

  const onAnswer = (endpoint: Endpoint, whole: AttemptAnswer): void => {
    attempt = undefined
    silence?.cancel()
    loads.onEnded(endpoint.id)
    if (triesElsewhere(endpoint, whole)) return
    if (whole.status < FIRST_FAILURE_STATUS) loads.onSuccess(endpoint.id)
    // The first event stands for the time in the queue; the slot is held from then on.
    if (service !== undefined && firstEventAtMs !== undefined) parts.holdTimes.onAnswer(service, clock.nowMs() - firstEventAtMs)
    finish(whole.status < 400 ? 'answered' : 'endpoint_status', { endpoint: endpoint.id, status: whole.status })
    if (answerBegun) response.end()
    else sendWhole(response, whole, parts.notice)
  }

  const send = (): void => {
    const endpoint = service === undefined ? undefined : choose(service)
    if (endpoint === undefined) {
      answer({ status: 503, code: 'no_endpoint', message: 'no endpoint of the service is known', retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS })
      return
    }
    tried.add(endpoint.id)
    offers++
    loads.onSent(endpoint.id)
    attempt = startAttempt({
      pool: parts.pools.poolOf(endpoint),
      wire: parts.wire,
      requestId: metadata.requestId,
      request: {
        method: client.request.method ?? 'GET',
        path: client.request.url ?? '/',
        headers: parts.wire.encodeSend(client.request.rawHeaders, {
          deadlineMs: Math.max(1, Math.floor(remainingMs())),
          expectedEndpointId: endpoint.id,
          lastEventId
        }),
        body: client.body.length > 0 ? client.body : undefined
      },
      streams: route.kind === 'stream',
      afterEventId: lastEventId,
      onHead: head => {
        if (answerBegun) return
        answerBegun = true
        if (parts.notice.isLeaving()) response.setHeader('Connection', 'close')
        response.writeHead(head.status, head.rawHeaders)
        response.flushHeaders()
      },
      onEvent: (bytes, id) => {
        firstEventAtMs ??= clock.nowMs()
        if (lastEventId === metadata.lastEventId) parts.metrics.firstEventSeconds.observe((clock.nowMs() - client.arrivedAtMs) / 1000)
        lastEventId = id ?? lastEventId
        response.write(bytes)
        watchSilence(endpoint)
      },
      onAnswer: whole => onAnswer(endpoint, whole),
      onFailure: (failure, reason) => onFailure(endpoint, failure, reason)
    })
    watchSilence(endpoint)
  }

  const expiry = clock.after(limitMs - (clock.nowMs() - client.arrivedAtMs), () => {
    if (finished) return
    const running = attempt
    const endpointId = [...tried].at(-1)
    attempt?.abort()
    attempt = undefined
    if (endpointId !== undefined && running !== undefined) loads.onEnded(endpointId)
    if (answerBegun) breakOff('timeout')
    else STEPS.time_out('timeout')
  })

  response.on('close', () => {
    if (finished) return
    const endpointId = [...tried].at(-1)
    if (attempt !== undefined && endpointId !== undefined) loads.onEnded(endpointId)
    attempt?.abort()
    attempt = undefined
    finish('client_left')
  })

  const overload = service === undefined
    ? undefined
    : checkOverload({
      candidates: parts.endpoints.usable(service),
      loadOf: loads.loadOf,
      holdMs: parts.holdTimes.holdMs(service),
      latencyObjectiveMs: route.latencyObjectiveMs,
      remainingMs: remainingMs(),
      fullTimeMs: route.timeoutMs,
      draw: parts.draw
    })
  if (overload?.refused === true) {
    log.info('request refused', { requestId: metadata.requestId, reason: overload.reason, waitMs: Math.round(overload.waitMs), remainingMs: Math.round(remainingMs()) })
    answer({ status: 503, code: 'overloaded', message: 'all endpoints are full', retryAfterMs: overload.retryAfterMs })
    return
  }
  send()
}

function sendWhole (response: ServerResponse, whole: AttemptAnswer, notice: ClosingNotice): void {
  if (notice.isLeaving()) response.setHeader('Connection', 'close')
  const headers = [...whole.rawHeaders]
  if (whole.status !== 204 && whole.status !== 304) headers.push('Content-Length', String(whole.body.length))
  response.writeHead(whole.status, headers)
  response.end(whole.body)
}
