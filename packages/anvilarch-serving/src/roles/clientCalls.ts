/** Takes what clients send to a gateway to where it is answered. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from 'anvilarch-utils'
import type { ConfigurationHolder } from '../configuration/configurationHolder'
import type { EndpointTable } from '../endpoints/endpointTable'
import type { JobCalls } from '../jobs/jobCalls'
import type { Configuration } from '../model/types'
import { type ClosingNotice, sendOwnAnswer } from '../requests/clientAnswer'
import { forwardRequest } from '../requests/forwardRequest'
import type { ForwardParts } from '../requests/forwardTypes'
import { readBody } from '../requests/readBody'
import { matchRoute } from '../routing/matchRoute'
import { headBytes } from './clientServer'

/** A client may send again at once to a gateway that has its configuration. */
const NOT_READY_RETRY_AFTER_MS = 500

/** How long a client waits for a gateway that has just started: ten times what a start takes while the store answers. */
const START_PATIENCE_MS = 300

/** How often a waiting client's request looks for the configuration. */
const START_POLL_MS = 10

/** A call of a client, and what answers it. */
export interface ClientCall {
  request: IncomingMessage
  response: ServerResponse
  forward: ForwardParts
  jobs: JobCalls
  configuration: ConfigurationHolder
  endpoints: EndpointTable
  notice: ClosingNotice
}

/**
 * Answers a call: one about jobs, a request to an endpoint, or bytes that are neither.
 *
 * @param call - as its head has come
 */
export async function handleClient (call: ClientCall): Promise<void> {
  const { request, response, forward, notice } = call
  const arrivedAtMs = forward.clock.nowMs()
  const configuration = await waitForConfiguration(call)
  if (configuration === undefined) {
    sendOwnAnswer(response, { status: 503, code: 'not_ready', message: 'no configuration is known yet', retryAfterMs: NOT_READY_RETRY_AFTER_MS }, notice)
    return
  }
  if (await call.jobs.handle(request, response)) return
  if (headBytes(request) > configuration.limits.maxHeaderBytes) {
    rejectClient(call, 431, 'head_too_large', `the head of the request exceeds ${configuration.limits.maxHeaderBytes} bytes`)
    return
  }
  const route = matchRoute(configuration, request.headers.host ?? '', request.url ?? '/')
  if (route === undefined) {
    sendOwnAnswer(response, { status: 404, code: 'no_route', message: 'no route matches this host and path' }, notice)
    return
  }
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
    await call.jobs.submit({ request, response, route, body: read.body, metadata, arrivedAtMs })
    return
  }
  forwardRequest(forward, { request, response, body: read.body, metadata, route, configurationVersion: configuration.version, arrivedAtMs })
}

/** Answers a request that has not been read whole; what the client still sends cannot be told from its next request. */
function rejectClient ({ request, response, forward, notice }: ClientCall, status: number, code: string, message: string): void {
  forward.log.info('client bytes rejected', { requestId: forward.wire.decodeRequest(request.headers).requestId, status, reason: code })
  response.setHeader('Connection', 'close')
  sendOwnAnswer(response, { status, code, message }, notice)
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
