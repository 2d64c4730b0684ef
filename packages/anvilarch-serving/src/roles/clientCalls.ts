/** Takes what clients send to a gateway to where it is answered. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from 'anvilarch-utils'
import type { CallerAuthenticator } from '../accounts/callerAuthenticator'
import { type CallerRefusal, refusalResponse } from '../accounts/refuseCaller'
import type { Caller } from '../accounts/types'
import type { ConfigurationHolder } from '../configuration/configurationHolder'
import type { EndpointTable } from '../endpoints/endpointTable'
import type { JobCalls } from '../jobs/jobCalls'
import type { Configuration, Route } from '../model/types'
import { type DrainState, type GatewayResponse, sendGatewayResponse } from '../requests/clientResponse'
import { forwardRequest } from '../requests/forwardRequest'
import type { ForwardParts } from '../requests/forwardTypes'
import { readBody } from '../requests/readBody'
import { isRouteHost, matchRoute } from '../routing/matchRoute'
import { headBytes } from './clientServer'

/** A client may send again at once to a gateway that has its configuration. */
const NOT_READY_RETRY_AFTER_MS = 500

/** How long a client waits for a gateway that has just started: ten times what a start takes while the store answers. */
const START_PATIENCE_MS = 300

/** How often a waiting client's request looks for the configuration. */
const START_POLL_MS = 10

/** A gateway that cannot reach the store may reach it again soon, and another one may reach it now. */
const UNCONFIRMED_RETRY_AFTER_MS = 300

const NO_ROUTE: GatewayResponse = { status: 404, code: 'no_route', message: 'no route matches this host and path' }

const ROUTE_NOT_CONFIRMED: GatewayResponse = {
  status: 503,
  code: 'route_not_confirmed',
  message: 'no route that is known here matches this host and path, and the store does not say whether there is a new one',
  retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS
}

/** A call of a client, and what answers it. */
export interface ClientCall {
  request: IncomingMessage
  response: ServerResponse
  /** Local time at which the head of the request had arrived. */
  arrivedAtMs: number
  forward: ForwardParts
  jobs: JobCalls
  configuration: ConfigurationHolder
  endpoints: EndpointTable
  callers: CallerAuthenticator
  /** @returns whether too little is known of keys that were taken away */
  isConfigurationStale: () => boolean
  /** @returns whether there may be a version of the configuration of which this gateway has not heard */
  isConfigurationFeedOverdue: () => boolean
  notice: DrainState
}

/**
 * Answers a call: one about jobs, a request to an endpoint, or bytes that are neither.
 *
 * @param call - as its head has come
 */
export async function handleClient (call: ClientCall): Promise<void> {
  const { request, response, arrivedAtMs, forward, notice } = call
  if (await waitForConfiguration(call) === undefined) {
    sendGatewayResponse(response, { status: 503, code: 'not_ready', message: 'no configuration is known yet', retryAfterMs: NOT_READY_RETRY_AFTER_MS }, notice)
    return
  }
  const caller = await letIn(call)
  // Letting a caller in may bring a newer version.
  const configuration = call.configuration.current()
  if (caller === undefined || configuration === undefined) return
  if (call.jobs.isJobCall(request)) {
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
    sendGatewayResponse(response, found.refusal, notice)
    return
  }
  const { route } = found
  const metadata = forward.wire.decodeRequest(request.headers)
  const timeoutMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
  const read = await readBody(request, { maxBytes: configuration.limits.maxBodyBytes, timeoutMs }, forward.clock)
  if (read.outcome === 'broken_off') return
  if (read.outcome === 'too_large') {
    rejectClient(call, 413, 'body_too_large', `the body exceeds ${configuration.limits.maxBodyBytes} bytes`)
    return
  }
  if (read.outcome === 'too_slow') {
    rejectClient(call, 408, 'body_too_slow', `the body was not whole after ${timeoutMs} ms`)
    return
  }
  if (route.kind === 'batch' && request.method === 'POST') {
    await call.jobs.submit({ request, response, route, caller, body: read.body, metadata, arrivedAtMs })
    return
  }
  forwardRequest(forward, { request, response, body: read.body, metadata, route, caller, configurationVersion: found.configurationVersion, arrivedAtMs })
}

type FoundRoute = { route: Route, configurationVersion: number } | { route: undefined, refusal: GatewayResponse }

/** Clients do not come back after 404: it is answered only by a gateway that knows all versions. */
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

/** Any client can ask for what is not there, as often as it likes. */
function logNoRoute ({ request, forward, configuration }: ClientCall, refusal: GatewayResponse): void {
  if (!forward.logRateLimiter.tryAcquire()) {
    forward.metrics.logLinesLeftOut.inc()
    return
  }
  const { requestId } = forward.wire.decodeRequest(request.headers)
  forward.log.info('no route', { requestId, status: refusal.status, configurationVersion: configuration.current()?.version })
}

/** @returns whose the call is; undefined when it has been refused */
async function letIn (call: ClientCall): Promise<Caller | undefined> {
  const { request, forward } = call
  const verdict = await call.callers.authenticate({
    credential: forward.wire.decodeCredential(request.rawHeaders),
    routeIn: configuration => routeOf(call, configuration)
  })
  switch (verdict.caller) {
    case 'unknown':
    case 'unconfirmed':
      refuseCaller(call, verdict.caller)
      return undefined
    case 'account':
      if (!call.isConfigurationStale()) return verdict
      refuseCaller(call, 'stale')
      return undefined
    default:
      return verdict
  }
}

/** A call about a job names no route: it is open to anybody where a job can be handed in by anybody. */
function routeOf ({ request, jobs }: ClientCall, configuration: Configuration): Pick<Route, 'isPublic'> | undefined {
  const host = request.headers.host ?? ''
  if (!jobs.isJobCall(request)) return matchRoute(configuration, host, request.url ?? '/')
  return configuration.routes.find(route => route.isPublic && route.kind === 'batch' && isRouteHost(route, host))
}

function refuseCaller ({ request, response, forward, configuration, notice }: ClientCall, refusal: CallerRefusal): void {
  forward.metrics.callerRefusals.inc({ reason: refusal })
  forward.log.info('caller refused', {
    requestId: forward.wire.decodeRequest(request.headers).requestId,
    reason: refusal,
    configurationVersion: configuration.current()?.version
  })
  sendGatewayResponse(response, refusalResponse(refusal, forward.wire.credentialScheme), notice)
}

/** Answers a request that has not been read whole; what the client still sends cannot be told from its next request. */
function rejectClient ({ request, response, forward, notice }: ClientCall, status: number, code: string, message: string): void {
  forward.log.info('client bytes rejected', { requestId: forward.wire.decodeRequest(request.headers).requestId, status, reason: code })
  response.setHeader('Connection', 'close')
  sendGatewayResponse(response, { status, code, message }, notice)
}

/**
 * A process that has just started knows configuration and endpoints some 30 ms after it listens. Clients who come
 * meanwhile wait for that; many have no further try after a refusal.
 */
async function waitForConfiguration ({ configuration, endpoints, forward }: ClientCall): Promise<Configuration | undefined> {
  const untilMs = forward.clock.nowMs() + START_PATIENCE_MS
  for (;;) {
    const current = configuration.current()
    if (current !== undefined && endpoints.hasListing()) return current
    if (forward.clock.nowMs() > untilMs) return current
    await sleep(forward.clock, START_POLL_MS)
  }
}
