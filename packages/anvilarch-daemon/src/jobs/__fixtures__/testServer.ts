/** A minimal HTTP server for the routes of jobs. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import findMyWay from 'find-my-way'
import { createBodyLimits, createSystemClock, toAnvilarchError } from 'anvilarch-utils'
import { type ClosableGate, createDrainGate } from '../../callers/drainGate'
import { sendError } from '../../callers/http/errorResponse'
import type { CallerContext, Route } from '../../callers/types'

/** A listening server. */
export interface TestServer {
  url: string
  gate: ClosableGate
  close: () => Promise<void>
}

/**
 * The bearer token is the name of the caller.
 *
 * @param routes - routes to serve
 * @returns the server, listening on a free port
 */
export async function startTestServer (routes: Route[]): Promise<TestServer> {
  const router = findMyWay()
  const gate = createDrainGate(createSystemClock())
  for (const route of routes) {
    router.on(route.method, route.path, (request, response, params) => {
      const incoming = request as IncomingMessage
      const outgoing = response as ServerResponse
      route.handle(callerContext(incoming, outgoing, params as Record<string, string>, gate)).catch((error: unknown) => {
        if (outgoing.headersSent || outgoing.destroyed) outgoing.destroy()
        else sendError(outgoing, toAnvilarchError(error, { code: 'internal', step: 'test' }), 'r')
      })
    })
  }
  const server = createServer((request, response) => { router.lookup(request, response) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, gate, close: () => closeServer(server) }
}

/** More than the bodies of any test. */
const MAX_BODY_BYTES = 64 * 1024 * 1024

function callerContext (request: IncomingMessage, response: ServerResponse, params: Record<string, string>, drain: ClosableGate): CallerContext {
  const closed = new AbortController()
  response.once('close', () => { if (!response.writableFinished) closed.abort() })
  return {
    request,
    response,
    params,
    query: new URL(request.url ?? '/', 'http://localhost').searchParams,
    requestId: 'r',
    caller: (request.headers.authorization ?? 'Bearer nobody').slice('Bearer '.length),
    deadlineMs: undefined,
    signal: closed.signal,
    drain,
    bodies: createBodyLimits({ clock: createSystemClock(), limitBytes: MAX_BODY_BYTES })
  }
}

async function closeServer (server: Server): Promise<void> {
  server.closeAllConnections()
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
}
