/**
 * One HTTP exchange over undici's dispatcher. A failed exchange reports whether the request was handed to a connection,
 * since a non-idempotent call that may have been sent must not be retried.
 */
import type { Dispatcher } from 'undici'
import { type Clock, createInactivityTimeout, framingOf, type ResponseFraming } from 'anvilarch-utils'
import type { EndpointCall, Headers } from '../../attempts/types'
import type { WatchedDispatcher } from './connections'

/** How an exchange ended. */
export type ExchangeEnd =
  | { kind: 'complete' }
  /** `sent` is false only if no byte of the request can have been sent. */
  | { kind: 'error', sent: boolean, code: string, detail: string }
  | { kind: 'aborted', sent: boolean }

const STATUS_NOT_MODIFIED = 304
const LENGTH_MISMATCH = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH'

/** Code of the error of a response without a length whose connection broke, or may have. */
export const BROKEN_OFF = 'broken_off'

/** Callbacks for the response. */
export interface ExchangeListener {
  onHead: (status: number, headers: Headers, framing: ResponseFraming) => void
  onData: (data: Uint8Array) => void
}

/** An exchange in progress. */
export interface HttpExchange {
  /** Resolves when the exchange has ended; never rejects. */
  done: Promise<ExchangeEnd>
  abort: () => void
  /** Ends the exchange with an error of its response; no callback follows. */
  fail: (code: string, detail: string) => void
  /** Time of the last received byte, or of the start of the exchange. */
  lastActivityMs: () => number
  sent: () => boolean
}

/** Hop-by-hop headers, which the agent sets itself. */
const HOP_BY_HOP_HEADERS = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'host', 'content-length', 'expect'])

/**
 * @param headers - headers of a message
 * @returns the end-to-end headers, which are forwarded
 */
export function endToEndHeaders (headers: Record<string, string | string[] | undefined>): Headers {
  const kept: Headers = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name.toLowerCase())) continue
    kept[name.toLowerCase()] = Array.isArray(value) ? value.join(', ') : value
  }
  return kept
}

/**
 * A response that ends with its connection is complete if the endpoint has closed the connection in order.
 *
 * @param dispatcher - the connection or pool to use
 * @param call - the request
 * @param listener - callbacks for the response
 * @param clock - for the time of the last byte
 * @returns the exchange
 */
export function openExchange (dispatcher: WatchedDispatcher, call: EndpointCall, listener: ExchangeListener, clock: Clock): HttpExchange {
  let sent = false
  let stopped = false
  let framing: ResponseFraming = 'framed'
  let isNotModified = false
  let lastActivityMs = clock.nowMs()
  let controller: Dispatcher.DispatchController | undefined
  let finish: (end: ExchangeEnd) => void = () => {}
  const done = new Promise<ExchangeEnd>(resolve => { finish = resolve })
  const stop = (end: ExchangeEnd): void => {
    if (stopped) return
    stopped = true
    finish(end)
    controller?.abort(new Error('aborted'))
  }
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart: receivedController => {
      controller = receivedController
      if (stopped) {
        receivedController.abort(new Error('aborted'))
        return
      }
      sent = true
    },
    onResponseStart: (_, status, headers) => {
      lastActivityMs = clock.nowMs()
      if (stopped || status < 200) return
      isNotModified = status === STATUS_NOT_MODIFIED
      framing = call.method === 'HEAD' ? 'framed' : framingOf(status, name => headers[name]?.toString())
      listener.onHead(status, endToEndHeaders(headers), framing)
    },
    onResponseData: (_, data) => {
      lastActivityMs = clock.nowMs()
      if (!stopped) listener.onData(data)
    },
    onResponseEnd: () => {
      const isComplete = framing === 'framed' || (framing === 'until_close' && dispatcher.lastConnectionEnd() === 'closed')
      finish(isComplete ? { kind: 'complete' } : { kind: 'error', sent, code: BROKEN_OFF, detail: 'the connection broke within an answer without a length' })
    },
    onResponseError: (_, error) => {
      const code = (error as { code?: string }).code ?? 'unknown'
      // undici demands the body whose length a 304 states, although such a response never has one.
      if (isNotModified && code === LENGTH_MISMATCH) finish({ kind: 'complete' })
      else finish({ kind: 'error', sent, code, detail: error.message })
    }
  }
  dispatcher.dispatch({
    method: call.method,
    path: call.path,
    headers: call.headers,
    body: call.body.length === 0 ? null : call.body,
    headersTimeout: 0,
    bodyTimeout: 0
  }, handler)
  return {
    done,
    abort: () => { stop({ kind: 'aborted', sent }) },
    fail: (code, detail) => { stop({ kind: 'error', sent, code, detail }) },
    lastActivityMs: () => lastActivityMs,
    sent: () => sent
  }
}

/** Response to a small JSON request. */
export interface JsonResponse {
  status: number
  body: unknown
}

/**
 * Sends a small JSON request and reads the response.
 *
 * @param dispatcher - the connection or pool to use
 * @param request - method, path and body
 * @param options - clock and timeout
 * @returns status and parsed body, or how the exchange failed
 */
export async function requestJson (
  dispatcher: WatchedDispatcher,
  request: { method: string, path: string, body?: unknown },
  options: { clock: Clock, timeoutMs: number }
): Promise<JsonResponse | { failed: ExchangeEnd }> {
  const chunks: Uint8Array[] = []
  let status = 0
  const body = request.body === undefined ? new Uint8Array(0) : Buffer.from(JSON.stringify(request.body))
  const call = { method: request.method, path: request.path, headers: { 'content-type': 'application/json' }, body }
  const exchange = openExchange(dispatcher, call, {
    onHead: receivedStatus => { status = receivedStatus },
    onData: data => { chunks.push(data) }
  }, options.clock)
  const timer = createInactivityTimeout({ clock: options.clock, timeoutMs: options.timeoutMs, onTimeout: exchange.abort })
  const end = await exchange.done
  timer.cancel()
  if (end.kind !== 'complete') return { failed: end }
  return { status, body: parseOrUndefined(Buffer.concat(chunks).toString('utf8')) }
}

/**
 * @param text - text of a body
 * @returns the parsed value, or undefined if it is not JSON
 */
export function parseOrUndefined (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
