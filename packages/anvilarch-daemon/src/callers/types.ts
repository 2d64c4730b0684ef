/** Types of the HTTP server for callers, which serves the routes of several slices. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BodyLimits } from 'anvilarch-utils'
import type { DrainGate } from './drainGate'

/** Input of a route handler. */
export interface CallerContext {
  request: IncomingMessage
  response: ServerResponse
  params: Record<string, string>
  query: URLSearchParams
  requestId: string
  /** Account name of the caller. */
  caller: string
  /** Monotonic time of the gateway's clock; undefined if the caller set no deadline. */
  deadlineMs: number | undefined
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
  /** Rejects requests that a drain may cut. */
  drain: DrainGate
  /** Limits that all bodies share. */
  bodies: BodyLimits
}

/** HTTP methods of routes. */
export type RouteMethod = 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE' | 'OPTIONS'

/** A route. If its handler rejects, a typed JSON error is sent. */
export interface Route {
  method: RouteMethod
  path: string
  handle: (context: CallerContext) => Promise<void>
}

/** The running server for callers. */
export interface CallersServer {
  /** IP address and port that it listens on. */
  address: string
  /** `draining` from the start of a graceful shutdown; determines readiness. */
  state: () => 'serving' | 'draining'
  /** @returns the number of requests in progress */
  inProgress: () => number
  /**
   * Graceful shutdown: becomes unready, so that the load balancer sends no more requests, then accepts no more connections, then
   * completes the requests in progress. Resolves when none remains or the configured timeout has passed.
   */
  drain: () => Promise<void>
}
