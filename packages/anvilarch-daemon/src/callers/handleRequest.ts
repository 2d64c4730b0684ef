/** Handles an HTTP request: finds its route, admits the caller and reports errors. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { abortResponse, type BodyLimits, toAnvilarchError } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import type { DispatchTable } from './dispatchTable'
import type { DrainGate } from './drainGate'
import { sendError } from './http/errorResponse'
import { bearerKeyOf, deadlineOf, requestIdOf } from './http/requestHeaders'
import { lingerThenClose } from './http/unreadBody'
import { findAccount, ANONYMOUS } from './limits/accounts'
import type { CallerLimiter } from './limits/callerLimiter'
import { MethodNotAllowed } from './plain/plainRouteTable'
import { requireConfiguration } from './requireConfiguration'

/** Path prefix of the operator interface, which has no limits so that it stays usable when callers overload the gateway. */
const OPERATOR_PREFIX = '/admin/'

/** Dependencies of the request handler. */
export interface HandlerParts {
  context: DaemonContext
  table: DispatchTable
  limiter: CallerLimiter
  nextRequestId: () => string
  isDraining: () => boolean
  drain: DrainGate
  bodies: BodyLimits
}

/**
 * @param parts - dependencies of the handler
 * @param request - the request
 * @param response - its response
 */
export async function handleRequest (parts: HandlerParts, request: IncomingMessage, response: ServerResponse): Promise<void> {
  let requestId = parts.nextRequestId()
  if (parts.isDraining()) response.setHeader('connection', 'close')
  try {
    requestId = requestIdOf(request.headers, () => requestId)
    response.setHeader('x-request-id', requestId)
    await serve(parts, request, response, requestId)
  } catch (error) {
    respondWithError(parts, request, response, { error, requestId })
  }
}

async function serve (parts: HandlerParts, request: IncomingMessage, response: ServerResponse, requestId: string): Promise<void> {
  const url = request.url ?? '/'
  const { route, params } = parts.table.find(request.method ?? 'GET', url)
  const durationMs = deadlineOf(request.headers)
  const { caller, release } = admit(parts, request, url, durationMs)
  try {
    await route.handle({
      request,
      response,
      params,
      query: new URL(url, 'http://localhost').searchParams,
      requestId,
      caller,
      deadlineMs: durationMs === undefined ? undefined : parts.context.clock.nowMs() + durationMs,
      signal: disconnectSignal(response),
      drain: parts.drain,
      bodies: parts.bodies
    })
  } finally {
    release()
  }
}

function admit (parts: HandlerParts, request: IncomingMessage, url: string, durationMs: number | undefined): { caller: string, release: () => void } {
  const key = bearerKeyOf(request.headers)
  if (url.startsWith(OPERATOR_PREFIX)) {
    const document = parts.context.configuration.current()?.document
    return { caller: document === undefined ? ANONYMOUS : findAccount(document, key).name, release: () => {} }
  }
  const account = findAccount(requireConfiguration(parts.context).document, key)
  return { caller: account.name, release: parts.limiter.admit(account, durationMs) }
}

/** @returns a signal that is aborted when the caller disconnects before its response was sent */
function disconnectSignal (response: ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) controller.abort()
  })
  return controller.signal
}

interface FailedRequest {
  error: unknown
  requestId: string
}

function respondWithError (parts: HandlerParts, request: IncomingMessage, response: ServerResponse, { error, requestId }: FailedRequest): void {
  const anvilarchError = toAnvilarchError(error, { code: 'internal', step: 'callers.handle', ran: 'unknown' })
  if (anvilarchError.code === 'internal') parts.context.logger.error('a request failed in the gateway', { requestId, error: describe(error) })
  parts.context.metrics.refusals.inc({ class: 'front', reason: anvilarchError.code })
  if (response.headersSent || response.destroyed) {
    abortResponse(response)
    return
  }
  if (error instanceof MethodNotAllowed) response.setHeader('allow', error.allowed.join(', '))
  // Node.js closes a connection as soon as a response that announces its close is sent, which resets a caller that is still sending.
  if (!request.complete) response.removeHeader('connection')
  sendError(response, anvilarchError, requestId)
  if (!request.complete) lingerThenClose(request, response, parts.context.clock)
}

function describe (error: unknown): string {
  return error instanceof Error ? error.stack ?? error.message : String(error)
}
