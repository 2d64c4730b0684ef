/** Calls a service of the platform, with a timeout, metrics and typed errors. */
import { Pool } from 'undici'
import { AnvilarchError, type Clock, type RunStatus, createInactivityTimeout, isFramed } from 'anvilarch-utils'
import type { Metrics } from '../../metrics/types'

/** Options of `createHttpCaller`. */
export interface HttpCallerOptions {
  /** Metric label and part of the step in errors. */
  service: string
  baseUrl: string
  timeoutMs: number
  clock: Clock
  metrics: Pick<Metrics, 'platformCalls'>
}

/** A call. */
export interface HttpCall {
  /** Metric label and part of the step in errors. */
  operation: string
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: string | Uint8Array
  /** Statuses that the port handles; others are errors. */
  accept: number[]
  signal?: AbortSignal
}

/** The complete response to a call. */
export interface HttpResponse {
  status: number
  body: Uint8Array
}

/** Calls a service. */
export interface HttpCaller {
  call: (call: HttpCall) => Promise<HttpResponse>
  close: () => Promise<void>
}

/** Maximum number of connections to one service. Further calls wait for a free one within their timeout. */
const MAX_CONNECTIONS = 32
/** Error codes of connections that were never established, so that the call was not run. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])
const STATUS_TOO_MANY_REQUESTS = 429
const STATUS_UNAVAILABLE = 503
/** Retry time if the service sends none. */
const DEFAULT_RETRY_AFTER_MS = 1000

/** A response with a status that the port does not handle. */
class UnexpectedStatusError extends Error {
  constructor (readonly status: number, readonly retryAfterMs: number | undefined) {
    super(`status ${status}`)
  }
}

/**
 * @param options - the service and its timeout
 * @returns a caller with its own pool of connections
 */
export function createHttpCaller (options: HttpCallerOptions): HttpCaller {
  const origin = new URL(options.baseUrl).origin
  const basePath = new URL(options.baseUrl).pathname.replace(/\/$/, '')
  const newPool = (): Pool => new Pool(origin, { connections: MAX_CONNECTIONS, pipelining: 1 })
  let pool = newPool()

  /*
   * A middlebox may lose its state of open connections, which then stay unresponsive although new ones work. A call that times
   * out indicates this. All other idle connections of the pool may be affected, so that each of the next calls would time out.
   * So the pool is replaced at the first timeout. Calls in progress on the old pool are completed.
   */
  const replacePool = (unresponsivePool: Pool): void => {
    if (pool !== unresponsivePool) return
    pool = newPool()
    unresponsivePool.close().catch(() => {})
  }

  const send = async (call: HttpCall, usedPool: Pool, signal: AbortSignal): Promise<HttpResponse> => {
    const response = await usedPool.request({
      method: call.method,
      path: basePath + call.path,
      headers: call.headers,
      body: call.body,
      headersTimeout: 0,
      bodyTimeout: 0,
      signal
    })
    const body = await response.body.bytes()
    if (call.accept.includes(response.statusCode)) {
      // Unlike endpoints, these services always state a length or chunks. An orderly close is not enough: a killed service causes one
      // too, and part of an object would be taken for all of it. A failed call is only repeated.
      if (!isFramed(response.statusCode, name => response.headers[name]?.toString())) throw new Error('the answer names neither a length nor chunks')
      return { status: response.statusCode, body }
    }
    throw new UnexpectedStatusError(response.statusCode, parseRetryAfterMs(response.headers['retry-after']))
  }

  const call = async (call: HttpCall): Promise<HttpResponse> => {
    const controller = new AbortController()
    const forward = (): void => controller.abort()
    call.signal?.addEventListener('abort', forward, { once: true })
    if (call.signal?.aborted === true) forward()
    let timedOut = false
    const timer = createInactivityTimeout({
      clock: options.clock,
      timeoutMs: options.timeoutMs,
      onTimeout: () => {
        timedOut = true
        controller.abort()
      }
    })
    const used = pool
    let outcome = 'ok'
    try {
      return await send(call, used, controller.signal)
    } catch (error) {
      if (timedOut) replacePool(used)
      outcome = describeOutcome(error, timedOut, call.signal)
      throw toPlatformError(error, outcome, call.operation, options)
    } finally {
      timer.cancel()
      call.signal?.removeEventListener('abort', forward)
      options.metrics.platformCalls.inc({ service: options.service, operation: call.operation, outcome })
    }
  }

  return { call, close: async () => { await pool.destroy() } }
}

function parseRetryAfterMs (header: string | string[] | undefined): number | undefined {
  const seconds = Number(Array.isArray(header) ? header[0] : header)
  return Number.isFinite(seconds) ? seconds * 1000 : undefined
}

function describeOutcome (error: unknown, timedOut: boolean, signal: AbortSignal | undefined): string {
  if (timedOut) return 'timeout'
  if (signal?.aborted === true) return 'aborted'
  if (error instanceof UnexpectedStatusError) return `status_${error.status}`
  return 'connection'
}

function toPlatformError (error: unknown, outcome: string, operation: string, options: HttpCallerOptions): AnvilarchError {
  const reason = error instanceof Error ? error.message : String(error)
  const found = outcome === 'timeout' ? `no answer within ${options.timeoutMs} ms` : reason
  return new AnvilarchError(`The platform's service "${options.service}" did not take "${operation}": ${found}.`, {
    code: 'platform_unavailable',
    step: `platform.${options.service}.${operation}`,
    peer: options.baseUrl,
    ran: runStatusOf(error, outcome),
    retryAfterMs: error instanceof UnexpectedStatusError ? error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS : DEFAULT_RETRY_AFTER_MS,
    cause: error
  })
}

/** @returns whether the service may have run a failed call */
function runStatusOf (error: unknown, outcome: string): RunStatus {
  if (outcome === 'timeout' || outcome === 'aborted') return 'unknown'
  if (error instanceof UnexpectedStatusError) {
    return error.status === STATUS_UNAVAILABLE || error.status === STATUS_TOO_MANY_REQUESTS ? 'not_run' : 'unknown'
  }
  const code = (error as { code?: string }).code
  return code !== undefined && CONNECT_ERROR_CODES.has(code) ? 'not_run' : 'unknown'
}
