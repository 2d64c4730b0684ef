/** Forwards calls to plain services. */
import { createHash } from 'node:crypto'
import type { PlainRoute } from 'anvilarch-configuration'
import { abortResponse } from 'anvilarch-utils'
import type { WorkRequest } from '../../attempts/types'
import { createResponseSink } from '../http/responseSink'
import { toEndpointHeaders } from '../http/forwardedHeaders'
import { readBody } from '../http/readBody'
import { idempotencyKeyOf } from '../http/requestHeaders'
import type { RouteDeps } from '../routeDeps'
import { requireConfiguration } from '../requireConfiguration'
import type { CallerContext, Route, RouteMethod } from '../types'
import { handleKeyedCall } from './keyedCalls'
import { findPlainRoute } from './plainRouteTable'

const METHODS: readonly RouteMethod[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']

/**
 * @param parts - dependencies of the routes
 * @returns the routes
 */
export function createPlainRoutes (parts: RouteDeps): Route[] {
  return METHODS.map(method => ({
    method,
    path: '/services/:service/*',
    handle: async (context: CallerContext) => { await forwardCall(parts, context) }
  }))
}

/** An idempotency key is only used for routes that are not idempotent; other calls can simply run again. */
async function forwardCall (parts: RouteDeps, context: CallerContext): Promise<void> {
  const { request, params } = context
  const { document } = requireConfiguration(parts.context)
  const service = params['service']
  const path = pathWithinService(request.url ?? '/', service)
  const route = findPlainRoute(document, service, request.method ?? 'GET', path)
  const key = route.idempotent ? undefined : idempotencyKeyOf(request.headers)
  const body = await readBody(context, document.limits.maxBodyBytes, context.drain.unreadRejected)
  const work = plainRequest(context, { service, path, route, body, nowMs: parts.context.clock.nowMs() })
  context.drain.check(work.deadlineMs)
  if (key === undefined) await streamResponse(parts, context, work)
  else await handleKeyedCall(parts, context, work, key)
}

async function streamResponse (parts: RouteDeps, { response, signal }: CallerContext, work: WorkRequest): Promise<void> {
  const sink = createResponseSink(response, { clock: parts.context.clock, stallMs: parts.options.stallMs })
  const result = await parts.runner.run(work, { sink, signal })
  if (result.outcome === 'completed') {
    sink.flushHead()
    response.end()
  } else if (sink.started()) {
    // The caller does not know the length of the response, so only an aborted connection shows that it is incomplete.
    abortResponse(response)
  } else {
    throw result.error
  }
}

/** @returns the path as the caller sent it, without any decoding */
function pathWithinService (url: string, service: string): string {
  const prefix = `/services/${service}`
  const at = url.indexOf('/', '/services/'.length)
  return at < 0 ? '/' : url.slice(url.startsWith(`${prefix}/`) ? prefix.length : at)
}

interface PlainCall {
  service: string
  path: string
  route: PlainRoute
  body: Buffer
  nowMs: number
}

function plainRequest (context: CallerContext, { service, path, route, body, nowMs }: PlainCall): WorkRequest {
  const method = context.request.method ?? 'GET'
  return {
    requestId: context.requestId,
    caller: context.caller,
    workClass: 'lookup',
    service,
    call: { method, path, headers: toEndpointHeaders(context.request.headers, context.requestId), body },
    outputMode: 'raw',
    idempotent: route.idempotent,
    deadlineMs: context.deadlineMs ?? nowMs + route.timeoutMs,
    fingerprint: createHash('sha256').update(`${service}\n${method} ${path}\n`).update(body).digest('hex'),
    affinityKey: ''
  }
}
