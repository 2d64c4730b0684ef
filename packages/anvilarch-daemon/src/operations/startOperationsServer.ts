/** The HTTP server for operators: liveness, readiness, metrics and timeline of this daemon. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { LifecycleManager } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { parseTimelineQuery } from './timelineQuery'

/** Whether the daemon accepts work, and the reason if not. */
export interface Readiness {
  ready: boolean
  reason: string
}

/** Whether all components of the role have started. */
export type Health = 'starting' | 'running'

/** Health checks, called at each request. */
export interface HealthChecks {
  health: () => Health
  readiness: () => Readiness
}

/** Shared parts of the daemon that the server needs. */
export type OperationsContext = Pick<DaemonContext, 'settings' | 'metrics' | 'timeline' | 'logger'>

/** The running server. */
export interface OperationsServer {
  /** IP address and port that it listens on. */
  address: string
}

interface PageResponse {
  status: number
  contentType: string
  body: string
}

type Handler = (query: URLSearchParams) => Promise<PageResponse> | PageResponse

const JSON_TYPE = 'application/json'

function json (status: number, body: unknown): PageResponse {
  return { status, contentType: JSON_TYPE, body: JSON.stringify(body) }
}

function createHandlers (context: OperationsContext, { health, readiness }: HealthChecks): Record<string, Handler> {
  const { metrics, settings, timeline } = context
  return {
    '/healthz': () => json(health() === 'running' ? 200 : 503, { process: settings.name, role: settings.role, state: health() }),
    '/readyz': () => {
      const found = readiness()
      return json(found.ready ? 200 : 503, found)
    },
    '/metrics': async () => ({ status: 200, contentType: metrics.registry.contentType, body: await metrics.registry.metrics() }),
    '/timeline': query => {
      const parsed = parseTimelineQuery(query)
      if ('error' in parsed) return json(400, parsed)
      return json(200, { process: settings.name, events: timeline.query(parsed) })
    }
  }
}

async function handleRequest (handlers: Record<string, Handler>, request: IncomingMessage): Promise<PageResponse> {
  const url = new URL(request.url ?? '/', 'http://localhost')
  const handler = Object.hasOwn(handlers, url.pathname) ? handlers[url.pathname] : undefined
  if (handler === undefined) return json(404, { error: `No page "${url.pathname}". There are: ${Object.keys(handlers).join(', ')}.` })
  if (request.method !== 'GET') return json(405, { error: `Method "${request.method ?? ''}" is not served; use "GET".` })
  return await handler(url.searchParams)
}

function write (response: ServerResponse, found: PageResponse): void {
  response.writeHead(found.status, { 'content-type': found.contentType })
  response.end(found.body)
}

/**
 * @param context - shared parts of the daemon
 * @param checks - called at each `/healthz` and `/readyz`
 * @param lifecycle - stops the server
 * @returns the running server
 */
export async function startOperationsServer (
  context: OperationsContext, checks: HealthChecks, lifecycle: LifecycleManager
): Promise<OperationsServer> {
  const handlers = createHandlers(context, checks)
  const server = createServer((request, response) => {
    handleRequest(handlers, request).then(
      found => { write(response, found) },
      (error: unknown) => {
        context.logger.error('operations request failed', { error: String(error) })
        write(response, json(500, { error: String(error) }))
      })
  })
  await lifecycle.start({
    name: 'operations server',
    start: async () => { await listen(server, context.settings.listen.operations) },
    stop: async () => { await close(server) }
  })
  const { address, port } = server.address() as AddressInfo
  return { address: `${address}:${port}` }
}

async function listen (server: Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(separator + 1)), host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

async function close (server: Server): Promise<void> {
  await new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
