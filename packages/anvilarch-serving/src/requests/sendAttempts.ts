/**
 * Sends one request to endpoints until one responds or no further send is allowed: to another one after an endpoint has failed or
 * refused, and beside one that is silent.
 */
import { createInactivityTimeout, type InactivityTimeout } from 'anvilarch-utils'
import { mayBegin } from '../drain/drainSchedule'
import { createFinalSteps, recordCompletion, recordEvent, recordFailure, recordWait } from './attemptEnd'
import { createAttemptLog } from './attemptLog'
import { sendKindOf } from './attemptRequest'
import { type AttemptHandlers, startAttemptAt } from './startAttemptAt'
import { countResumption, recordOrigin } from './bindStream'
import { createLimitedWrite } from './limitedWrite'
import { createNextEndpoint } from './nextEndpoint'
import { createProbedEnd } from './probedEnd'
import { createStreamEnd } from './streamEnd'
import { createEndsWithoutSend } from './endWithoutSend'
import { type AttemptFailure, isRetryable, type NextStep, nextStep } from './retryDecision'
import { type ClientRequest, type ForwardParts, placementCriteria, requestIdentityOf, type RequestState } from './forwardTypes'
import type { RequestCompletion } from './requestCompletion'
import { closeAfterLastResponse, INTERNAL_ERROR_RESPONSE, INTERNAL_REFUSAL_RESPONSE } from './clientResponse'
import { type EndpointResponse, GONE_AFTER_END_REASON, isFull, type ResponseHead } from './runAttempt'
import { createSilenceTimeout } from './silenceTimeout'
import { type AbortedAttempt, createRunningAttempts, type RunningAttempt } from './runningAttempts'

/** Attempts of one request. */
export interface Attempts {
  /** Queries the loads of endpoints. @returns a promise that resolves when an endpoint can be chosen */
  prepare: () => Promise<void>
  /** @returns whether this gateway may send the request to an endpoint; false late in a drain */
  mayBeginSend: () => boolean
  /** Sends the request to the best endpoint that has not been tried. */
  sendPrepared: () => void
  /** @returns whether an endpoint may have run the request, those of attempts in progress included */
  mayHaveRun: () => boolean
  /** Aborts the attempts in progress and sends nothing afterwards. */
  stop: () => void
  /** Ends the request with a timeout response, or completes its response. */
  timeOut: () => void
  /** Completes a response that an endpoint has ended in order and that nothing has contradicted. @returns false if there is none */
  completeUnconfirmed: () => boolean
  /** Handles an error of this gateway. The request goes on if an attempt is in progress, and ends with a failure if there is none. */
  onError: (error: Error) => void
}

/** Lowest status that endpoints use for failures of their own. */
const FIRST_FAILURE_STATUS = 500

/** Reason of a request that has no further step after such an end. */
const UNCONFIRMED_END_REASON = 'end_not_confirmed'

/** Reason of an attempt that was aborted because another endpoint sent a response or an event while it sent none. */
const SILENT_REASON = 'silent'

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
  const running = createRunningAttempts(parts)
  const silence = createSilenceTimeout(parts, client, state)
  const complete = (entry: RunningAttempt, endpointResponse?: EndpointResponse): void => endpointResponse === undefined ? completeStream(entry) : onResponse(entry, endpointResponse)
  const endParts = { parts, state, running, complete, onGone: (entry: RunningAttempt) => afterFailure(entry, 'may_have_run', GONE_AFTER_END_REASON), isLeaving: (startId: string) => nextEndpoint.isLeaving(startId) }
  const streamEnd = createStreamEnd({ ...endParts, route, eventTimeoutMs: silence.eventTimeoutMs, hasEnded: end.hasEnded, onError: error => onError(error), onProcessPause: lateMs => onProcessPause(lateMs) })
  const probedEnd = createProbedEnd(endParts)
  const nextEndpoint = createNextEndpoint(parts, client, state, running, streamEnd)
  const write = createLimitedWrite(response, parts.responseBudget, () => end.abortConnection('client_does_not_read'))
  /** Endpoints that have stated that they are full. While an attempt is silent, they are asked again. */
  const full = new Set<string>()
  let responseTimeout: InactivityTimeout | undefined
  let lastEventAtMs: number | undefined
  let stopped = false
  let isResending = false

  const remainingMs = (): number => state.deadlineAtMs - clock.nowMs()

  /** A stream that has begun is resumed also late in a drain: without a resumption it is cut in any case. */
  const mayBeginSend = (): boolean =>
    state.responseStarted || mayBegin(parts.drainState.schedule(), { nowMs: clock.nowMs(), limitAtMs: state.deadlineAtMs })

  const prepare = async (): Promise<void> => {
    const isChosen = running.count() === 0 && nextEndpoint.confirming() !== undefined
    if (state.service !== undefined && !isChosen) await parts.placement.prepare(placementCriteria(client, state, state.service))
  }

  /** Queries loads again before the next send: after an endpoint fails, its requests move to the others. */
  const resend = (): void => {
    if (isResending) return
    isResending = true
    const eventId = state.lastEventId
    prepare()
      .then(() => {
        isResending = false
        if (stopped || end.hasEnded()) return
        // An attempt that was silent may have sent an event meanwhile.
        if (running.count() > 0 && state.lastEventId !== eventId) restartResponseTimeout()
        else sendPrepared()
      })
      .catch(onError)
  }

  const stepAfter = (failure: AttemptFailure): NextStep => {
    const attemptsInProgress = running.count()
    const mayRunAgain = parts.crashes.mayRunAgain(requestIdentityOf(client), nextEndpoint.startedCount() > 0)
    return nextStep(route, failure, {
      attemptsThatMayHaveRun: nextEndpoint.startedCount() - attemptsInProgress,
      attemptsInProgress,
      allSilent: running.areAllSilent(),
      responseStarted: state.responseStarted,
      hasUntriedEndpoint: mayRunAgain && nextEndpoint.untried() !== undefined,
      hasAbortedEndpoint: mayRunAgain && nextEndpoint.aborted() !== undefined,
      hasUnconfirmedEnd: streamEnd.isPending(),
      mayAskForConfirmation: mayRunAgain && nextEndpoint.confirming() !== undefined,
      remainingMs: remainingMs(),
      mayBeginSend: mayBeginSend()
    })
  }

  const cancelResponseTimeout = (): void => {
    responseTimeout?.cancel()
    responseTimeout = undefined
  }

  const steps: Record<NextStep, (reason: string) => void> = {
    send_again: resend,
    wait: () => restartResponseTimeout(),
    complete: streamEnd.completeAfterProbe,
    ...createFinalSteps(parts, client, state, end)
  }

  /** Goes on after a failure of an attempt that is no longer in progress. */
  const afterFailure = ({ endpoint }: RunningAttempt, failure: AttemptFailure, reason: string, metricReason = reason): void => {
    cancelResponseTimeout()
    if (failure === 'may_have_run') state.ranAt.add(endpoint.startId)
    else state.refusedSendCount++
    if (isFull(reason)) full.add(endpoint.startId)
    recordFailure(parts, client, endpoint, failure, reason, reason === GONE_AFTER_END_REASON || streamEnd.isEndedBy(endpoint.startId))
    streamEnd.onFailure(endpoint.startId, reason)
    metrics.attemptFailures.inc({ kind: route.kind, reason: metricReason })
    attemptLog.failed(endpoint, failure, reason)
    steps[stepAfter(failure)](reason)
  }

  const onFailure = (entry: RunningAttempt, failure: AttemptFailure, reason: string, metricReason = reason): void => { if (running.release(entry)) afterFailure(entry, failure, reason, metricReason) }

  const countAborted = ({ endpoint, mayHaveRun }: AbortedAttempt): void => {
    if (mayHaveRun) state.ranAt.add(endpoint.startId)
    else state.refusedSendCount++
    metrics.attemptFailures.inc({ kind: route.kind, reason: SILENT_REASON })
    attemptLog.failed(endpoint, mayHaveRun ? 'may_have_run' : 'not_run', SILENT_REASON)
  }

  /** Attempts that have been sent go on: their endpoints may be sound, and the other one may refuse. */
  const onResponseTimeout = (): void => {
    responseTimeout = undefined
    if (running.count() === 0 || streamEnd.isPending()) return
    for (const entry of running.all()) entry.isSilent = true
    for (const startId of full) state.tried.delete(startId)
    full.clear()
    if (stepAfter('may_have_run') !== 'send_again') {
      restartResponseTimeout()
      return
    }
    for (const { endpoint } of running.all()) {
      loads.onFailure(endpoint.startId)
      attemptLog.silent(endpoint)
    }
    running.abort(running.unsent()).forEach(countAborted)
    resend()
  }

  /** Ends all attempts but the one whose endpoint continues the response. */
  const continueWith = (entry: RunningAttempt): void => {
    if (running.count() <= 1) return
    for (const other of running.abort(running.others(entry))) {
      countAborted(other)
      nextEndpoint.onAborted(other)
    }
  }

  const onProcessPause = (lateMs: number): void => {
    metrics.processPauses.inc()
    for (const { endpoint } of running.all()) attemptLog.processPaused(endpoint, lateMs)
  }

  /** Restarts the response timeout, which limits the time without an event or a response. Called at a send and at each event; only the first call sets a timer. */
  const restartResponseTimeout = (): void => {
    if (!isRetryable(route) || nextEndpoint.startedCount() >= route.maxAttempts) return
    const boundMs = silence.timeoutMs(nextEndpoint.startedCount())
    responseTimeout ??= createInactivityTimeout({ clock, timeoutMs: boundMs, onTimeout: onResponseTimeout, onProcessPause })
    responseTimeout.recordActivity()
    responseTimeout.setTimeoutMs(boundMs)
  }

  /** Handles the response of an endpoint that failed, or that sent a buffered response when a stream was to be resumed. */
  const onFailedResponse = (entry: RunningAttempt, endpointResponse: EndpointResponse): void => {
    if (!state.responseStarted) state.failedResponse = { endpointId: entry.endpoint.startId, response: endpointResponse }
    onFailure(entry, 'may_have_run', `status ${endpointResponse.status}`, 'endpoint_status')
  }

  const onSuccess = (entry: RunningAttempt): void => {
    continueWith(entry)
    cancelResponseTimeout()
    streamEnd.cancelTimeout()
    running.release(entry)
    loads.onSuccess(entry.endpoint.startId)
    recordCompletion(parts, client, state, entry.endpoint.startId)
  }

  const onResponse = (entry: RunningAttempt, endpointResponse: EndpointResponse): void => {
    observeEndpointWait(entry)
    if (state.responseStarted || endpointResponse.status >= FIRST_FAILURE_STATUS) {
      onFailedResponse(entry, endpointResponse)
      return
    }
    onSuccess(entry)
    end.respondFromEndpoint(entry.endpoint.startId, endpointResponse)
  }

  const completeStream = (entry: RunningAttempt): void => {
    observeEndpointWait(entry)
    startResponse(entry)
    onSuccess(entry)
    end.completeStream(entry.endpoint.startId)
  }

  const completeUnconfirmed = (): boolean => !end.hasEnded() && (streamEnd.completeUnconfirmed() || probedEnd.completeUnconfirmed())

  const onUnconfirmedEnd = (entry: RunningAttempt, endpointResponse: EndpointResponse | undefined): void => {
    if (endpointResponse !== undefined || !route.resumable) {
      cancelResponseTimeout()
      probedEnd.probe(entry, endpointResponse).catch(onError)
      return
    }
    if (!running.release(entry)) return
    cancelResponseTimeout()
    state.ranAt.add(entry.endpoint.startId)
    if (streamEnd.onEnd(entry)) return
    attemptLog.ended(entry.endpoint)
    steps[stepAfter('may_have_run')](UNCONFIRMED_END_REASON)
  }

  const onHead = (entry: RunningAttempt, head: ResponseHead): void => {
    attemptLog.responseStarted(entry.endpoint, head.status)
    entry.head = head
  }

  /**
   * Sends the head to the client, together with the first block of the stream. Until then the request may wait in the queue of its
   * endpoint, and a failure can still be answered completely.
   */
  const startResponse = (entry: RunningAttempt): void => {
    if (state.responseStarted || entry.head === undefined) return
    // The client gets the head and the first events from the same endpoint.
    continueWith(entry)
    recordOrigin(parts, client, state, entry.endpoint)
    closeAfterLastResponse(response, parts.drainState)
    response.writeHead(entry.head.status, entry.head.rawHeaders)
    state.responseStarted = true
    response.flushHeaders()
  }

  /** A block without id and data holds only comments, which are no sign that the endpoint runs the request. */
  const onComment = (entry: RunningAttempt, bytes: Buffer): void => {
    if (running.count() > 1) return
    startResponse(entry)
    write(bytes)
  }

  const onEvent = (entry: RunningAttempt, bytes: Buffer, id: number | undefined): void => {
    const nowMs = clock.nowMs()
    entry.isSilent = false
    streamEnd.cancelTimeout()
    continueWith(entry)
    startResponse(entry)
    state.firstEventAtMs ??= nowMs
    state.firstEventId ??= id
    if (id !== undefined) state.eventCount++
    if (state.lastEventId === metadata.lastEventId) metrics.firstEventSeconds.observe((nowMs - client.arrivedAtMs) / 1000)
    if (lastEventAtMs !== undefined) state.longestGapMs = Math.max(state.longestGapMs, nowMs - lastEventAtMs)
    lastEventAtMs = nowMs
    recordEvent(parts, entry)
    observeEndpointWait(entry)
    state.lastEventId = id ?? state.lastEventId
    restartResponseTimeout()
    write(bytes)
  }

  const observeEndpointWait = (entry: RunningAttempt): void => recordWait(parts, route.kind, entry)

  const mayHaveRun = (): boolean => state.ranAt.size > 0 || running.unsent().length < running.count()

  const stop = (): void => {
    stopped = true
    cancelResponseTimeout()
    streamEnd.cancelTimeout()
    running.abort(running.all())
  }

  const onError = (error: Error): void => {
    log.error('request handling failed', { reason: error.message })
    isResending = false
    if (stopped || end.hasEnded()) return
    if (running.count() > 0) restartResponseTimeout()
    else if (!completeUnconfirmed()) end.respond(mayHaveRun() ? INTERNAL_ERROR_RESPONSE : INTERNAL_REFUSAL_RESPONSE)
  }

  const handlers: AttemptHandlers = { onHead, onComment, onEvent, onStreamEnd: completeStream, onUnconfirmedEnd, onResponse, onFailure }

  const endsWithoutSend = createEndsWithoutSend({ parts, end, state, running, nextEndpoint, streamEnd, steps, stepAfter, completeUnconfirmed })

  const sendPrepared = (): void => {
    // After a process pause the deadline timer may fire after the timer that leads here. An endpoint would then run a
    // request that its client no longer waits for.
    if (remainingMs() <= 0) {
      stop()
      endsWithoutSend.timeOut()
      return
    }
    if (!parts.isStillAuthorized(client.caller)) {
      endsWithoutSend.forRevokedKey()
      return
    }
    if (!mayBeginSend()) {
      endsWithoutSend.forDrain()
      return
    }
    const endpoint = nextEndpoint.choose()
    if (endpoint === undefined) {
      endsWithoutSend.withoutEndpoint()
      return
    }
    attemptLog.chosen(endpoint)
    const expectedWaitMs = silence.onSend(endpoint)
    nextEndpoint.onSent(endpoint)
    metrics.sends.inc({ kind: route.kind, send: sendKindOf(client, state) })
    countResumption(parts, state, endpoint)
    state.sendCount++
    state.firstSentAtMs ??= clock.nowMs()
    running.add(endpoint, expectedWaitMs, entry => startAttemptAt({ parts, client, state, endpoint, entry, handlers }))
    restartResponseTimeout()
  }

  return { prepare, mayBeginSend, sendPrepared, mayHaveRun, stop, timeOut: endsWithoutSend.timeOut, completeUnconfirmed, onError }
}
