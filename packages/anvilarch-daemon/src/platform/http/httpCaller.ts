/** Calls to one service of the platform, each bounded in time, counted, and with typed errors. */
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

/** One call. */
export interface HttpCall {
  /** Metric label and part of the step in errors. */
  operation: string
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  body?: string | Uint8Array
  /** Statuses that the port understands; any other one is an error. */
  accept: number[]
  signal?: AbortSignal
}

/** The whole answer to a call. */
export interface HttpAnswer {
  status: number
  body: Uint8Array
}

/** Calls one service. */
export interface HttpCaller {
  call: (call: HttpCall) => Promise<HttpAnswer>
  close: () => Promise<void>
}

/** Connections to one service; more calls wait for a free one, within their own bound. */
const MAX_CONNECTIONS = 32
/** Error codes of a connection that was never made, so that nothing can have run. */
const NEVER_CONNECTED = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])
const STATUS_TOO_MANY_REQUESTS = 429
const STATUS_UNAVAILABLE = 503
/** When to try again, where the service does not say. */
const DEFAULT_RETRY_AFTER_MS = 1000

/** An answer with a status that the port does not understand. */
class UnexpectedStatusError extends Error {
  constructor (readonly status: number, readonly retryAfterMs: number | undefined) {
    super(`status ${status}`)
  }
}

/**
 * @param options - the service and its bounds
 * @returns a caller with its own pool of connections
 */
export function createHttpCaller (options: HttpCallerOptions): HttpCaller {
  const origin = new URL(options.baseUrl).origin
  const basePath = new URL(options.baseUrl).pathname.replace(/\/$/, '')
  const newPool = (): Pool => new Pool(origin, { connections: MAX_CONNECTIONS, pipelining: 1 })
  let pool = newPool()

  /*
   * Something between the two ends may lose track of open connections: they stay silent for good while new ones work.
   * One notices it by a call that times out. Every other idle connection of the pool may be silent as well, so that
   * call after call would time out; a new pool ends that with the first one. Calls in progress on the old pool finish.
   */
  const replacePool = (silent: Pool): void => {
    if (pool !== silent) return
    pool = newPool()
    silent.close().catch(() => {})
  }

  const send = async (call: HttpCall, used: Pool, signal: AbortSignal): Promise<HttpAnswer> => {
    const response = await used.request({
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
      if (!isFramed(response.statusCode, name => response.headers[name]?.toString())) throw new Error('the answer names neither a length nor chunks')
      return { status: response.statusCode, body }
    }
    throw new UnexpectedStatusError(response.statusCode, parseRetryAfterMs(response.headers['retry-after']))
  }

  const call = async (call: HttpCall): Promise<HttpAnswer> => {
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
    ran: ranOf(error, outcome),
    retryAfterMs: error instanceof UnexpectedStatusError ? error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS : DEFAULT_RETRY_AFTER_MS,
    cause: error
  })
}

/** Whether the service may have done what was asked, though no good answer came. */
function ranOf (error: unknown, outcome: string): RunStatus {
  if (outcome === 'timeout' || outcome === 'aborted') return 'unknown'
  if (error instanceof UnexpectedStatusError) {
    return error.status === STATUS_UNAVAILABLE || error.status === STATUS_TOO_MANY_REQUESTS ? 'not_run' : 'unknown'
  }
  const code = (error as { code?: string }).code
  return code !== undefined && NEVER_CONNECTED.has(code) ? 'not_run' : 'unknown'
}
