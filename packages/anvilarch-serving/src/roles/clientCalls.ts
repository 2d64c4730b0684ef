/** Dispatches client requests at a gateway to job calls, batch submission or forwarding. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { type BodyLimits, headBytes, sleep } from 'anvilarch-utils'
import type { CallerAuthenticator } from '../accounts/callerAuthenticator'
import { type CallerRefusal, refusalResponse } from '../accounts/refuseCaller'
import type { Caller } from '../accounts/types'
import type { ConfigurationHolder } from '../configuration/configurationHolder'
import type { EndpointTable } from '../endpoints/endpointTable'
import { type JobCalls, MAX_JOB_CALL_MS } from '../jobs/jobCalls'
import type { Configuration, Route } from '../model/types'
import { mayBegin } from '../drain/drainSchedule'
import { drainElapsedMs, type DrainState } from '../drain/drainState'
import { returnAtTurnMs } from '../requests/callerReturn'
import { type GatewayResponse, sendGatewayResponse, STOPPING_RESPONSE } from '../requests/clientResponse'
import { forwardRequest } from '../requests/forwardRequest'
import type { ForwardParts } from '../requests/forwardTypes'
import { readBody } from '../requests/readBody'
import { isRouteHost, matchRoute } from '../routing/matchRoute'
import type { EventFields } from '../telemetry/events'

/** Retry delay while this gateway has no configuration. A gateway that has one can serve the request immediately. */
const NOT_READY_RETRY_AFTER_MS = 500

/** Longest wait of a request at a gateway that has just started: ten times the duration of a start while the store responds. */
const START_WAIT_MS = 300

/** Interval at which a waiting request checks for the configuration. */
const START_POLL_MS = 10

/** Retry delay when a route cannot be confirmed. This gateway may reach the store again soon, and another one may reach it now. */
const UNCONFIRMED_RETRY_AFTER_MS = 300

const NO_ROUTE: GatewayResponse = { status: 404, code: 'no_route', message: 'no route matches this host and path' }

const ROUTE_NOT_CONFIRMED: GatewayResponse = {
  status: 503,
  code: 'route_not_confirmed',
  message: 'no route that is known here matches this host and path, and the store does not say whether there is a new one',
  retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS
}

const INTERRUPTED_JOB_CALL: GatewayResponse = {
  status: 504,
  code: 'outcome_unknown',
  message: 'this gateway stopped before the store had answered; the call may have taken effect'
}

/** A client call and the dependencies that handle it. */
export interface ClientCall {
  request: IncomingMessage
  response: ServerResponse
  /** Local time at which the head of the request was received. */
  arrivedAtMs: number
  forward: ForwardParts
  jobs: JobCalls
  configuration: ConfigurationHolder
  endpoints: EndpointTable
  callers: CallerAuthenticator
  /** @returns whether this gateway may have missed revoked keys and must fail closed */
  isConfigurationStale: () => boolean
  /** @returns whether this gateway may have missed a version of the configuration */
  isConfigurationFeedOverdue: () => boolean
  drainState: DrainState
  /** Limits that all bodies share. */
  bodies: BodyLimits
}

/** Further copies of the body of a job while it is decoded and stored. */
const JOB_BODY_COPIES = 2

/**
 * Handles a client call: a job call, a job submission, a request to an endpoint, or a request that is rejected.
 *
 * @param call - a call whose head has been received
 */
export async function handleClient (call: ClientCall): Promise<void> {
  const { request, response, arrivedAtMs, forward, drainState } = call
  const unregister = respondAtDrainEnd(call, STOPPING_RESPONSE, () => logUnread(call, 'stopping'))
  if (await waitForConfiguration(call) === undefined) {
    sendGatewayResponse(response, { status: 503, code: 'not_ready', message: 'no configuration is known yet', retryAfterMs: NOT_READY_RETRY_AFTER_MS }, drainState)
    return
  }
  const caller = await authenticate(call)
  // Authentication may have loaded a newer version.
  const configuration = call.configuration.current()
  if (caller === undefined || configuration === undefined) return
  if (call.jobs.isJobCall(request)) {
    if (refuseJobCallInDrain(call)) return
    unregister()
    respondAtDrainEnd(call, INTERRUPTED_JOB_CALL)
    await call.jobs.handle(request, response, caller)
    return
  }
  if (headBytes(request) > configuration.limits.maxHeaderBytes) {
    rejectClient(call, 431, 'head_too_large', `the head of the request exceeds ${configuration.limits.maxHeaderBytes} bytes`)
    return
  }
  const found = await findRoute(call, configuration)
  if (found.route === undefined) {
    logNoRoute(call, found.refusal)
    sendGatewayResponse(response, found.refusal, drainState)
    return
  }
  const { route } = found
  const metadata = forward.wire.decodeRequest(request.headers)
  const timeoutMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
  const reading = readBody(request, { maxBytes: configuration.limits.maxBodyBytes, timeoutMs }, call.bodies, forward.clock)
  response.once('close', reading.release)
  const read = await reading.result
  if (read.outcome === 'broken_off') {
    if (!response.headersSent) logUnread(call, 'client_left')
    return
  }
  if (read.outcome === 'too_large') {
    rejectClient(call, 413, 'body_too_large', `the body exceeds ${configuration.limits.maxBodyBytes} bytes`)
    return
  }
  if (read.outcome === 'too_slow') {
    rejectClient(call, 408, 'body_too_slow', `the body was not whole after ${timeoutMs} ms`)
    return
  }
  if (read.outcome === 'no_room') {
    refuseForRoom(call, read.receivedBytes, timeoutMs)
    return
  }
  if (route.kind === 'batch' && request.method === 'POST') {
    if (!reading.tryAdd(read.body.length * JOB_BODY_COPIES)) {
      refuseForRoom(call, read.body.length, timeoutMs)
      return
    }
    if (refuseJobCallInDrain(call)) return
    unregister()
    respondAtDrainEnd(call, INTERRUPTED_JOB_CALL)
    await call.jobs.submit({ request, response, route, caller, body: read.body, metadata, arrivedAtMs })
    return
  }
  unregister()
  forwardRequest(forward, { request, response, body: read.body, metadata, route, caller, configurationVersion: found.configurationVersion, arrivedAtMs, readAtMs: forward.clock.nowMs() })
}

type FoundRoute = { route: Route, configurationVersion: number } | { route: undefined, refusal: GatewayResponse }

/** Clients do not retry after a 404, so it is sent only once this gateway is known to have the newest version. */
async function findRoute (call: ClientCall, configuration: Configuration): Promise<FoundRoute> {
  const { request } = call
  const findIn = (searched: Configuration): FoundRoute | undefined => {
    const route = matchRoute(searched, request.headers.host ?? '', request.url ?? '/')
    return route && { route, configurationVersion: searched.version }
  }
  const found = findIn(configuration)
  if (found !== undefined) return found
  const isConfirmed = !call.isConfigurationFeedOverdue() || await call.callers.refreshConfiguration()
  return findIn(call.configuration.current() ?? configuration) ?? { route: undefined, refusal: isConfirmed ? NO_ROUTE : ROUTE_NOT_CONFIRMED }
}

/** Limits the rate of these lines, since any client can send any number of requests without a route. */
function logNoRoute ({ request, forward, configuration }: ClientCall, refusal: GatewayResponse): void {
  if (!forward.logRateLimiter.tryAcquire()) {
    forward.metrics.logLinesLeftOut.inc()
    return
  }
  const { requestId } = forward.wire.decodeRequest(request.headers)
  forward.log.info('no route', { requestId, status: refusal.status, configurationVersion: configuration.current()?.version })
}

/** Sends a response if the drain ends before the call has one. @returns removes the registration */
function respondAtDrainEnd ({ response, drainState }: ClientCall, gatewayResponse: GatewayResponse, beforeResponse = (): void => {}): () => void {
  const unregister = drainState.onEnd(() => {
    if (!response.headersSent) beforeResponse()
    sendGatewayResponse(response, gatewayResponse, drainState)
  })
  response.on('close', unregister)
  return unregister
}

/** Logs a request that was not read whole. Any client can send any number of these. */
export function logUnread ({ request, arrivedAtMs, forward, drainState }: Pick<ClientCall, 'request' | 'arrivedAtMs' | 'forward' | 'drainState'>, reason: EventFields['request ended unread']['reason']): void {
  if (!forward.logRateLimiter.tryAcquire()) {
    forward.metrics.logLinesLeftOut.inc()
    return
  }
  forward.log.info('request ended unread', {
    requestId: forward.wire.decodeRequest(request.headers).requestId,
    reason,
    drainMs: drainElapsedMs(forward.clock, drainState),
    elapsedMs: Math.round(forward.clock.nowMs() - arrivedAtMs)
  })
}

/** Refuses a job call that may not end before this gateway does. @returns whether it was refused */
function refuseJobCallInDrain ({ response, forward, drainState }: ClientCall): boolean {
  const nowMs = forward.clock.nowMs()
  if (mayBegin(drainState.schedule(), { nowMs, limitAtMs: nowMs + MAX_JOB_CALL_MS })) return false
  sendGatewayResponse(response, STOPPING_RESPONSE, drainState)
  return true
}

/** @returns the caller; undefined if the call has been refused */
async function authenticate (call: ClientCall): Promise<Caller | undefined> {
  const { request, forward } = call
  const result = await call.callers.authenticate({
    credential: forward.wire.decodeCredential(request.rawHeaders),
    routeIn: configuration => routeOf(call, configuration)
  })
  switch (result.caller) {
    case 'unknown':
    case 'unconfirmed':
      refuseCaller(call, result.caller)
      return undefined
    case 'account':
      if (!call.isConfigurationStale()) return result
      refuseCaller(call, 'stale')
      return undefined
    default:
      return result
  }
}

/** A job call names no route. It needs no key on hosts with a public batch route, where anyone can submit a job. */
function routeOf ({ request, jobs }: ClientCall, configuration: Configuration): Pick<Route, 'isPublic'> | undefined {
  const host = request.headers.host ?? ''
  if (!jobs.isJobCall(request)) return matchRoute(configuration, host, request.url ?? '/')
  return configuration.routes.find(route => route.isPublic && route.kind === 'batch' && isRouteHost(route, host))
}

function refuseCaller ({ request, response, forward, configuration, drainState }: ClientCall, refusal: CallerRefusal): void {
  forward.metrics.callerRefusals.inc({ reason: refusal })
  forward.log.info('caller refused', {
    requestId: forward.wire.decodeRequest(request.headers).requestId,
    reason: refusal,
    configurationVersion: configuration.current()?.version
  })
  sendGatewayResponse(response, refusalResponse(refusal, forward.wire.credentialScheme), drainState)
}

/** Refuses a request whose body has no room in this process. It has not run, since it was not whole or was not passed on. */
function refuseForRoom (call: ClientCall, heldBytes: number, timeoutMs: number): void {
  const { arrivedAtMs, forward, bodies } = call
  const remainingMs = arrivedAtMs + timeoutMs - forward.clock.nowMs()
  const retryAfterMs = returnAtTurnMs(Math.max(0, remainingMs), bodies.budget.roomInMs(heldBytes), forward.random)
  forward.metrics.bodiesRefused.inc()
  rejectClient(call, 503, 'no_room', 'the bodies of all requests take all the memory that this gateway has for them; the request has not run', retryAfterMs)
}

/** Rejects a request that has not been read completely. The rest of it could not be told apart from the next request, so the connection is closed. */
function rejectClient ({ request, response, forward, drainState }: ClientCall, status: number, code: string, message: string, retryAfterMs?: number): void {
  if (forward.logRateLimiter.tryAcquire()) forward.log.info('client bytes rejected', { requestId: forward.wire.decodeRequest(request.headers).requestId, status, reason: code })
  else forward.metrics.logLinesLeftOut.inc()
  if (response.headersSent) return
  response.setHeader('Connection', 'close')
  sendGatewayResponse(response, { status, code, message, retryAfterMs }, drainState)
}

/**
 * Waits until the configuration and the endpoints are loaded, which takes some 30 ms after a process has started to listen.
 * Requests are delayed instead of refused, since many clients do not retry after a refusal.
 */
async function waitForConfiguration ({ configuration, endpoints, forward }: ClientCall): Promise<Configuration | undefined> {
  const deadlineMs = forward.clock.nowMs() + START_WAIT_MS
  for (;;) {
    const current = configuration.current()
    if (current !== undefined && endpoints.hasListing()) return current
    if (forward.clock.nowMs() > deadlineMs) return current
    await sleep(forward.clock, START_POLL_MS)
  }
}
