/** Passes calls through to plain services. */
import { createHash } from 'node:crypto'
import type { PlainRoute } from 'anvilarch-configuration'
import { abortResponse } from 'anvilarch-utils'
import type { WorkRequest } from '../../attempts/types'
import { createAnswerSink } from '../http/answerSink'
import { toEndpoint } from '../http/forwardedHeaders'
import { readBody } from '../http/readBody'
import { idempotencyKeyOf } from '../http/requestHeaders'
import type { FrontParts } from '../frontParts'
import { requireConfiguration } from '../requireConfiguration'
import type { CallerContext, Route, RouteMethod } from '../types'
import { answerKeyedCall } from './keyedCalls'
import { findPlainRoute } from './plainRouteTable'

const METHODS: readonly RouteMethod[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']

/**
 * @param parts - shared parts of the front
 * @returns the routes
 */
export function createPlainRoutes (parts: FrontParts): Route[] {
  return METHODS.map(method => ({
    method,
    path: '/services/:service/*',
    handle: async (context: CallerContext) => { await passThrough(parts, context) }
  }))
}

/** A key matters only to a call that may not be repeated; any other is simply run again. */
async function passThrough (parts: FrontParts, context: CallerContext): Promise<void> {
  const { request, params } = context
  const { document } = requireConfiguration(parts.context)
  const service = params['service']
  const path = pathWithin(request.url ?? '/', service)
  const route = findPlainRoute(document, service, request.method ?? 'GET', path)
  const key = route.idempotent ? undefined : idempotencyKeyOf(request.headers)
  const body = await readBody(request, document.limits.maxBodyBytes)
  const work = plainRequest(context, { service, path, route, body, nowMs: parts.context.clock.nowMs() })
  if (key === undefined) await answerAsItComes(parts, context, work)
  else await answerKeyedCall(parts, context, work, key)
}

async function answerAsItComes (parts: FrontParts, { response, signal }: CallerContext, work: WorkRequest): Promise<void> {
  const sink = createAnswerSink(response, { clock: parts.context.clock, stallMs: parts.options.stallMs })
  const result = await parts.runner.run(work, { sink, signal })
  if (result.outcome === 'completed') {
    sink.flushHead()
    response.end()
  } else if (sink.started()) {
    // The length of the answer is known to the caller only by its end, so a cut connection is the one sign of a failure.
    abortResponse(response)
  } else {
    throw result.error
  }
}

/** The path as the caller wrote it, so that nothing in it is decoded on the way. */
function pathWithin (url: string, service: string): string {
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
    call: { method, path, headers: toEndpoint(context.request.headers, context.requestId), body },
    outputMode: 'raw',
    idempotent: route.idempotent,
    deadlineMs: context.deadlineMs ?? nowMs + route.timeoutMs,
    fingerprint: createHash('sha256').update(`${service}\n${method} ${path}\n`).update(body).digest('hex'),
    affinityKey: ''
  }
}
