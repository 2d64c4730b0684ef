/** Sends one request to endpoints, one after another, until one responds or no further send is allowed. */
import { createInactivityTimeout, type InactivityTimeout } from 'anvilarch-utils'
import { forwardedCallerOf } from '../accounts/types'
import type { Endpoint } from '../model/types'
import { createAttemptLog } from './attemptLog'
import { countResumption, recordOrigin } from './bindStream'
import { type AttemptFailure, isRetryable, type NextStep, nextStep, responseTimeoutMs } from './retryDecision'
import { type ClientRequest, type ForwardParts, placementCriteria, requestIdentityOf, type RequestState } from './forwardTypes'
import type { RequestCompletion } from './requestCompletion'
import { unauthorizedResponse } from './clientResponse'
import { type Attempt, type EndpointResponse, isBrokenConnection, isConnectionRefused, isTransientFailure, startAttempt } from './runAttempt'

/** Attempts of one request. */
export interface Attempts {
  /** Queries the loads of endpoints. @returns a promise that resolves when an endpoint can be chosen */
  prepare: () => Promise<void>
  /** Sends the request to the best endpoint that has not been tried. */
  sendPrepared: () => void
  /** Aborts the attempt in progress and sends nothing afterwards. */
  stop: () => void
  /** Ends the request with a timeout response. */
  timeOut: () => void
}

/** Retry-After for requests that no endpoint has run: slots become free within a few hundred milliseconds. */
const REFUSED_RETRY_AFTER_MS = 300

/** Retry-After if there is no endpoint: a replacement is listed after about one heartbeat. */
const NO_ENDPOINT_RETRY_AFTER_MS = 800

/** Lowest status that endpoints use for failures of their own. */
const FIRST_FAILURE_STATUS = 500

/** Limit on the sends of one request, including those that endpoints refuse because they are full. */
const MAX_SENDS = 6

/** An attempt in progress and its endpoint. */
interface Running {
  endpoint: Endpoint
  attempt: Attempt
}

/**
 * @param parts - endpoints, connections and wire
 * @param client - the request
 * @param state - progress of the request; updated by the attempts
 * @param end - ends the request
 * @returns the attempts, none sent yet
 */
export function createAttempts (parts: ForwardParts, client: ClientRequest, state: RequestState, end: RequestCompletion): Attempts {
  const { clock, loads, log, metrics } = parts
  const attemptLog = createAttemptLog(parts, client, state)
  const { route, response, metadata } = client
  let running: Running | undefined
  let responseTimeout: InactivityTimeout | undefined
  let lastEventAtMs: number | undefined
  /** Time of the send in progress; undefined after its first event or its response. */
  let sentAtMs: number | undefined
  let stopped = false

  const remainingMs = (): number => state.deadlineAtMs - clock.nowMs()

  const choose = (): Endpoint | undefined =>
    state.service === undefined ? undefined : parts.placement.choose(placementCriteria(client, state, state.service))

  const prepare = async (): Promise<void> => {
    if (state.service !== undefined) await parts.placement.prepare(placementCriteria(client, state, state.service))
  }

  /** Queries loads again before the next send: after an endpoint fails, its requests move to the others. */
  const resend = (): void => {
    prepare()
      .then(() => { if (!stopped) sendPrepared() })
      .catch(error => {
        log.error('request handling failed', { reason: (error as Error).message })
        end.abortConnection('internal_error')
      })
  }

  const maySendAgain = (): boolean => state.sendCount < MAX_SENDS && choose() !== undefined

  const stepAfter = (failure: AttemptFailure, attemptsThatMayHaveRun = state.attemptsThatMayHaveRun): NextStep => nextStep(route, failure, {
    attemptsThatMayHaveRun,
    responseStarted: state.responseStarted,
    hasUntriedEndpoint: maySendAgain() && parts.crashes.mayRunAgain(requestIdentityOf(client), attemptsThatMayHaveRun > 0),
    remainingMs: remainingMs()
  })

  /** Stops counting the attempt in progress as load. @returns that attempt */
  const releaseRunning = (): Running | undefined => {
    const released = running
    running = undefined
    responseTimeout?.cancel()
    responseTimeout = undefined
    if (released !== undefined) {
      loads.onEnded(released.endpoint.startId)
      parts.usageReporter.onEnded(released.endpoint)
    }
    return released
  }

  const steps: Record<NextStep, (reason: string) => void> = {
    send_again: resend,
    refuse: reason => end.respond({ status: 503, code: 'not_run', message: `no endpoint took the request (${reason})`, retryAfterMs: REFUSED_RETRY_AFTER_MS }),
    fail: reason => end.respond({ status: 502, code: 'endpoint_failed', message: `the endpoint gave no whole answer (${reason})` }),
    time_out: reason => end.respond({ status: 504, code: 'timeout', message: `no whole answer within ${state.timeoutMs} ms (${reason})` }),
    break_off: reason => end.abortConnection(reason)
  }

  const onFailure = (endpoint: Endpoint, failure: AttemptFailure, reason: string, metricReason = reason): void => {
    releaseRunning()
    if (failure === 'may_have_run') state.attemptsThatMayHaveRun++
    else state.refusedSendCount++
    if (!isTransientFailure(reason)) loads.onFailure(endpoint.startId)
    if (isConnectionRefused(reason)) parts.crashes.onEndpointLost(endpoint.startId)
    if (failure === 'may_have_run' && isBrokenConnection(reason)) parts.crashes.onConnectionLost(requestIdentityOf(client), endpoint.startId)
    metrics.attemptFailures.inc({ kind: route.kind, reason: metricReason })
    attemptLog.failed(endpoint, failure, reason)
    steps[stepAfter(failure)](reason)
  }

  const onResponseTimeout = (endpoint: Endpoint): void => {
    responseTimeout = undefined
    if (running === undefined) return
    // A request that still waits for a connection is not sent after it is aborted.
    const failure = running.attempt.mayHaveRun() ? 'may_have_run' : 'not_run'
    const attemptsAfterAbort = state.attemptsThatMayHaveRun + (failure === 'may_have_run' ? 1 : 0)
    if (stepAfter(failure, attemptsAfterAbort) !== 'send_again') return
    running.attempt.abort()
    onFailure(endpoint, failure, 'silent')
  }

  const onProcessPause = (endpoint: Endpoint, lateMs: number): void => {
    metrics.processPauses.inc()
    attemptLog.processPaused(endpoint, lateMs)
  }

  /** Restarts the response timeout, which limits the time without an event or a response. Called at a send and at each event; only the first call sets a timer. */
  const restartResponseTimeout = (endpoint: Endpoint): void => {
    if (!isRetryable(route) || state.attemptsThatMayHaveRun + 1 >= route.maxAttempts) return
    const boundMs = responseTimeoutMs(route, state.responseStarted)
    responseTimeout ??= createInactivityTimeout({ clock, timeoutMs: boundMs, onTimeout: () => onResponseTimeout(endpoint), onProcessPause: lateMs => onProcessPause(endpoint, lateMs) })
    responseTimeout.recordActivity()
    responseTimeout.setTimeoutMs(boundMs)
  }

  /** Handles the response of an endpoint that failed, or that sent a buffered response when a stream was to be resumed. */
  const onFailedResponse = (endpoint: Endpoint, endpointResponse: EndpointResponse): void => {
    if (!state.responseStarted) state.failedResponse = { endpointId: endpoint.startId, response: endpointResponse }
    onFailure(endpoint, 'may_have_run', `status ${endpointResponse.status}`, 'endpoint_status')
  }

  const onSuccess = (endpoint: Endpoint): void => {
    releaseRunning()
    loads.onSuccess(endpoint.startId)
    // Several endpoints may complete a stream together, although each of them crashes.
    if (state.attemptsThatMayHaveRun === 0 && metadata.lastEventId === undefined) parts.crashes.onCompleted(requestIdentityOf(client))
    // The request waits in the queue until its first event and holds the slot from then on.
    if (state.service !== undefined && state.firstEventAtMs !== undefined) {
      parts.holdTimes.onCompleted(state.service, clock.nowMs() - state.firstEventAtMs)
    }
  }

  const onResponse = (endpoint: Endpoint, endpointResponse: EndpointResponse): void => {
    observeEndpointWait()
    if (state.responseStarted || endpointResponse.status >= FIRST_FAILURE_STATUS) {
      onFailedResponse(endpoint, endpointResponse)
      return
    }
    onSuccess(endpoint)
    end.respondFromEndpoint(endpoint.startId, endpointResponse)
  }

  const onStreamEnd = (endpoint: Endpoint): void => {
    observeEndpointWait()
    onSuccess(endpoint)
    end.completeStream(endpoint.startId)
  }

  const onHead = (endpoint: Endpoint, head: { status: number, rawHeaders: string[] }): void => {
    attemptLog.responseStarted(endpoint, head.status)
    if (state.responseStarted) return
    state.responseStarted = true
    recordOrigin(parts, client, state, endpoint)
    if (parts.drainState.isDraining()) response.setHeader('Connection', 'close')
    response.writeHead(head.status, head.rawHeaders)
    response.flushHeaders()
  }

  const onEvent = (endpoint: Endpoint, bytes: Buffer, id: number | undefined): void => {
    const nowMs = clock.nowMs()
    state.firstEventAtMs ??= nowMs
    state.firstEventId ??= id
    if (id !== undefined) state.eventCount++
    if (state.lastEventId === metadata.lastEventId) metrics.firstEventSeconds.observe((nowMs - client.arrivedAtMs) / 1000)
    if (lastEventAtMs !== undefined) state.longestGapMs = Math.max(state.longestGapMs, nowMs - lastEventAtMs)
    lastEventAtMs = nowMs
    observeEndpointWait()
    state.lastEventId = id ?? state.lastEventId
    response.write(bytes)
    restartResponseTimeout(endpoint)
  }

  const startAt = (endpoint: Endpoint): Attempt => startAttempt({
    pool: parts.pools.poolOf(endpoint),
    wire: parts.wire,
    requestId: metadata.requestId,
    request: {
      method: client.request.method ?? 'GET',
      path: client.request.url ?? '/',
      headers: parts.wire.encodeSend(client.request.rawHeaders, {
        deadlineMs: Math.max(1, Math.floor(remainingMs())),
        expectedEndpointId: endpoint.id,
        lastEventId: state.lastEventId,
        caller: forwardedCallerOf(client.caller)
      }),
      body: client.body.length > 0 ? client.body : undefined
    },
    streams: route.kind === 'stream',
    afterEventId: state.lastEventId,
    resumable: route.resumable,
    onHead: head => onHead(endpoint, head),
    onEvent: (bytes, id) => onEvent(endpoint, bytes, id),
    onStreamEnd: () => onStreamEnd(endpoint),
    onResponse: endpointResponse => onResponse(endpoint, endpointResponse),
    onFailure: (failure, reason) => onFailure(endpoint, failure, reason)
  })

  const observeEndpointWait = (): void => {
    if (sentAtMs !== undefined) metrics.endpointWaitSeconds.observe({ kind: route.kind }, (clock.nowMs() - sentAtMs) / 1000)
    sentAtMs = undefined
  }

  const sendKind = (): 'first' | 'again' | 'resumed' => {
    if (state.sendCount === 0) return 'first'
    return state.lastEventId === metadata.lastEventId ? 'again' : 'resumed'
  }

  const timeOut = (): void => {
    if (state.responseStarted) end.abortConnection('timeout')
    else steps.time_out('timeout')
  }

  /** Ends a request whose key was revoked while it waited. Attempts in progress are not aborted, but nothing new is sent. */
  const endForRevokedKey = (): void => {
    if (state.responseStarted) end.abortConnection('key_taken_away')
    else if (state.attemptsThatMayHaveRun > 0) steps.fail('key_taken_away')
    else end.respond(unauthorizedResponse(parts.wire.credentialScheme))
  }

  /** Ends a request without an untried endpoint: endpoints may be removed while the request waits for their loads. */
  const endWithoutEndpoint = (): void => {
    if (state.attemptsThatMayHaveRun > 0) steps[stepAfter('may_have_run')]('no_endpoint')
    else end.respond({ status: 503, code: 'no_endpoint', message: 'no endpoint of the service is known', retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS })
  }

  const sendPrepared = (): void => {
    // After a process pause the deadline timer may fire after the timer that leads here. An endpoint would then run a
    // request that its client no longer waits for.
    if (remainingMs() <= 0) {
      timeOut()
      return
    }
    if (!parts.isStillAuthorized(client.caller)) {
      endForRevokedKey()
      return
    }
    const endpoint = choose()
    if (endpoint === undefined) {
      endWithoutEndpoint()
      return
    }
    attemptLog.chosen(endpoint)
    state.tried.add(endpoint.startId)
    metrics.sends.inc({ kind: route.kind, send: sendKind() })
    countResumption(parts, state, endpoint)
    state.sendCount++
    sentAtMs = clock.nowMs()
    loads.onSent(endpoint.startId)
    parts.usageReporter.onSent(endpoint)
    running = { endpoint, attempt: startAt(endpoint) }
    restartResponseTimeout(endpoint)
  }

  return {
    prepare,
    sendPrepared,
    stop: () => {
      stopped = true
      releaseRunning()?.attempt.abort()
    },
    timeOut
  }
}
