/** Sends one request to endpoints, one after another, until one has answered or none may be tried any more. */
import { createSilenceWatch, type SilenceWatch } from 'anvilarch-utils'
import { forwardedCallerOf } from '../accounts/types'
import type { Endpoint } from '../model/types'
import { createAttemptLog } from './attemptLog'
import { type AttemptFailure, isRetryable, type NextStep, nextStep, silenceTimeoutMs } from './retryDecision'
import { type ClientRequest, type ForwardParts, placementTerms, requestIdentityOf, type RequestState } from './forwardTypes'
import type { RequestCompletion } from './requestCompletion'
import { unauthorizedResponse } from './clientResponse'
import { type Attempt, type EndpointResponse, isBrokenConnection, isConnectionRefused, isTransientRefusal, startAttempt } from './runAttempt'

/** The attempts of one request. */
export interface Attempts {
  /** Finds out which endpoints are free. @returns a promise that resolves when it is time to choose one */
  prepare: () => Promise<void>
  /** Sends to the best endpoint that has not been tried. */
  sendPrepared: () => void
  /** Ends the attempt in progress; nothing is sent afterwards. */
  stop: () => void
  /** Answers that no whole answer came in time. */
  timeOut: () => void
}

/** When a refused client may come back: slots free up within some hundred milliseconds. */
const REFUSED_RETRY_AFTER_MS = 300

/** When there is no endpoint at all; a replaced one is listed after about a heartbeat. */
const NO_ENDPOINT_RETRY_AFTER_MS = 800

/** Endpoints answer failures of their own with this status or a higher one. */
const FIRST_FAILURE_STATUS = 500

/** How often a request that an endpoint has refused as full is offered to others. */
const MAX_OFFERS = 6

/** An attempt in progress and where it is. */
interface Running {
  endpoint: Endpoint
  attempt: Attempt
}

/**
 * @param parts - endpoints, connections and wire
 * @param client - the request
 * @param state - how far it has come; the attempts change it
 * @param end - ends the request
 * @returns the attempts, none sent yet
 */
export function createAttempts (parts: ForwardParts, client: ClientRequest, state: RequestState, end: RequestCompletion): Attempts {
  const { clock, loads, log, metrics } = parts
  const trail = createAttemptLog(parts, client, state)
  const { route, response, metadata } = client
  let running: Running | undefined
  let silence: SilenceWatch | undefined
  let lastEventAtMs: number | undefined
  /** Of the send in progress, until its first event or answer. */
  let sentAtMs: number | undefined
  let stopped = false

  const remainingMs = (): number => state.deadlineAtMs - clock.nowMs()

  const choose = (): Endpoint | undefined =>
    state.service === undefined ? undefined : parts.placement.choose(placementTerms(client, state, state.service))

  const prepare = async (): Promise<void> => {
    if (state.service !== undefined) await parts.placement.prepare(placementTerms(client, state, state.service))
  }

  /** After a failure: loads are asked for anew, since an endpoint that fails leaves its requests to the others. */
  const sendAgain = (): void => {
    prepare()
      .then(() => { if (!stopped) sendPrepared() })
      .catch(error => {
        log.error('request handling failed', { reason: (error as Error).message })
        end.abortConnection('internal_error')
      })
  }

  const mayOfferOnceMore = (): boolean => state.sendCount < MAX_OFFERS && choose() !== undefined

  const stepAfter = (failure: AttemptFailure, attemptsThatMayHaveRun = state.attemptsThatMayHaveRun): NextStep => nextStep(route, failure, {
    attemptsThatMayHaveRun,
    responseStarted: state.responseStarted,
    hasUntriedEndpoint: mayOfferOnceMore() && parts.crashes.mayRun(requestIdentityOf(client)),
    remainingMs: remainingMs()
  })

  /** @returns the attempt that was in progress, which no longer counts as load */
  const leaveRunning = (): Running | undefined => {
    const left = running
    running = undefined
    silence?.cancel()
    silence = undefined
    if (left !== undefined) {
      loads.onEnded(left.endpoint.startId)
      parts.use.onEnded(left.endpoint)
    }
    return left
  }

  const steps: Record<NextStep, (reason: string) => void> = {
    send_again: sendAgain,
    refuse: reason => end.respond({ status: 503, code: 'not_run', message: `no endpoint took the request (${reason})`, retryAfterMs: REFUSED_RETRY_AFTER_MS }),
    fail: reason => end.respond({ status: 502, code: 'endpoint_failed', message: `the endpoint gave no whole answer (${reason})` }),
    time_out: reason => end.respond({ status: 504, code: 'timeout', message: `no whole answer within ${state.timeoutMs} ms (${reason})` }),
    break_off: reason => end.abortConnection(reason)
  }

  const onFailure = (endpoint: Endpoint, failure: AttemptFailure, reason: string, metricReason = reason): void => {
    leaveRunning()
    if (failure === 'may_have_run') state.attemptsThatMayHaveRun++
    else state.refusedSendCount++
    if (!isTransientRefusal(reason)) loads.onFailure(endpoint.startId)
    if (isConnectionRefused(reason)) parts.crashes.onEndpointLost(endpoint.startId)
    if (failure === 'may_have_run' && isBrokenConnection(reason)) parts.crashes.onConnectionLost(requestIdentityOf(client), endpoint.startId)
    metrics.attemptFailures.inc({ kind: route.kind, reason: metricReason })
    trail.failed(endpoint, failure, reason)
    steps[stepAfter(failure)](reason)
  }

  const onSilence = (endpoint: Endpoint): void => {
    silence = undefined
    if (running === undefined) return
    // A request that still waits for a connection never gets to the endpoint once it is given up.
    const failure = running.attempt.mayHaveRun() ? 'may_have_run' : 'not_run'
    const attemptsThen = state.attemptsThatMayHaveRun + (failure === 'may_have_run' ? 1 : 0)
    if (stepAfter(failure, attemptsThen) !== 'send_again') return
    running.attempt.abort()
    onFailure(endpoint, failure, 'silent')
  }

  const onOwnPause = (endpoint: Endpoint, lateMs: number): void => {
    metrics.ownPauses.inc()
    trail.ownPause(endpoint, lateMs)
  }

  /** Called at a send and at each event; only the first call sets a timer. */
  const watchSilence = (endpoint: Endpoint): void => {
    if (!isRetryable(route) || state.attemptsThatMayHaveRun + 1 >= route.maxAttempts) return
    const boundMs = silenceTimeoutMs(route, state.responseStarted)
    silence ??= createSilenceWatch({ clock, boundMs, onSilence: () => onSilence(endpoint), onOwnPause: lateMs => onOwnPause(endpoint, lateMs) })
    silence.heard()
    silence.setBoundMs(boundMs)
  }

  /** The answer of an endpoint that failed, or that was to go on with a stream and sent something else. */
  const onFailedAnswer = (endpoint: Endpoint, whole: EndpointResponse): void => {
    if (!state.responseStarted) state.failedResponse = { endpointId: endpoint.startId, whole }
    onFailure(endpoint, 'may_have_run', `status ${whole.status}`, 'endpoint_status')
  }

  const onSuccess = (endpoint: Endpoint): void => {
    leaveRunning()
    loads.onSuccess(endpoint.startId)
    // The first event stands for the time in the queue; the slot is held from then on.
    if (state.service !== undefined && state.firstEventAtMs !== undefined) {
      parts.holdTimes.onAnswer(state.service, clock.nowMs() - state.firstEventAtMs)
    }
  }

  const onAnswer = (endpoint: Endpoint, whole: EndpointResponse): void => {
    observeWait()
    if (state.responseStarted || whole.status >= FIRST_FAILURE_STATUS) {
      onFailedAnswer(endpoint, whole)
      return
    }
    onSuccess(endpoint)
    end.respondFromEndpoint(endpoint.startId, whole)
  }

  const onEventsEnd = (endpoint: Endpoint): void => {
    observeWait()
    onSuccess(endpoint)
    end.completeEvents(endpoint.startId)
  }

  const onHead = (endpoint: Endpoint, head: { status: number, rawHeaders: string[] }): void => {
    trail.begun(endpoint, head.status)
    if (state.responseStarted) return
    state.responseStarted = true
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
    observeWait()
    state.lastEventId = id ?? state.lastEventId
    response.write(bytes)
    watchSilence(endpoint)
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
    onEventsEnd: () => onEventsEnd(endpoint),
    onAnswer: whole => onAnswer(endpoint, whole),
    onFailure: (failure, reason) => onFailure(endpoint, failure, reason)
  })

  const observeWait = (): void => {
    if (sentAtMs !== undefined) metrics.endpointWaitSeconds.observe({ kind: route.kind }, (clock.nowMs() - sentAtMs) / 1000)
    sentAtMs = undefined
  }

  const sendName = (): 'first' | 'again' | 'resumed' => {
    if (state.sendCount === 0) return 'first'
    return state.lastEventId === metadata.lastEventId ? 'again' : 'resumed'
  }

  const timeOut = (): void => {
    if (state.responseStarted) end.abortConnection('timeout')
    else steps.time_out('timeout')
  }

  /** The key was taken away while the request waited: what runs goes on, nothing new is sent. */
  const endForLostKey = (): void => {
    if (state.responseStarted) end.abortConnection('key_taken_away')
    else if (state.attemptsThatMayHaveRun > 0) steps.fail('key_taken_away')
    else end.respond(unauthorizedResponse(parts.wire.credentialScheme))
  }

  /** Endpoints that could have been tried may have gone while the request waited for the choice of one. */
  const endWithoutEndpoint = (): void => {
    if (state.attemptsThatMayHaveRun > 0) steps[stepAfter('may_have_run')]('no_endpoint')
    else end.respond({ status: 503, code: 'no_endpoint', message: 'no endpoint of the service is known', retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS })
  }

  const sendPrepared = (): void => {
    // After a pause of this process the timer of the deadline may run after the one that leads here. An endpoint would run
    // what nobody waits for any more.
    if (remainingMs() <= 0) {
      timeOut()
      return
    }
    if (!parts.isStillAllowed(client.caller)) {
      endForLostKey()
      return
    }
    const endpoint = choose()
    if (endpoint === undefined) {
      endWithoutEndpoint()
      return
    }
    trail.chosen(endpoint)
    state.tried.add(endpoint.startId)
    metrics.sends.inc({ kind: route.kind, send: sendName() })
    state.sendCount++
    sentAtMs = clock.nowMs()
    loads.onSent(endpoint.startId)
    parts.use.onSent(endpoint)
    running = { endpoint, attempt: startAt(endpoint) }
    watchSilence(endpoint)
  }

  return {
    prepare,
    sendPrepared,
    stop: () => {
      stopped = true
      leaveRunning()?.attempt.abort()
    },
    timeOut
  }
}
