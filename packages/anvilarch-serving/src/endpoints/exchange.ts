/** One HTTP exchange with an endpoint over a persistent connection. */
import { isFramed } from 'anvilarch-utils'
import type { Pool } from './httpPool'

/** HTTP request of an exchange. */
export interface ExchangeRequest {
  method: string
  path: string
  /** Alternating names and values, as sent on the wire. */
  headers: string[]
  body: Buffer | undefined
}

/** Why an exchange ended without a complete response. */
export interface ExchangeFailure {
  /** True if no byte of the request was sent, so that it cannot have run. */
  notSent: boolean
  reason: string
}

/**
 * Receives the response. Exactly one of `onComplete` and `onFailure` is called, and last. A response without a length is complete if
 * the endpoint has closed its connection in order, and has failed if the connection broke.
 */
export interface ExchangeListener {
  /** `isFramed` is false if only the end of the connection shows where the response ends. */
  onHead: (status: number, headers: Map<string, string>, rawHeaders: string[], isFramed: boolean) => void
  onData: (chunk: Buffer) => void
  onComplete: () => void
  onFailure: (failure: ExchangeFailure) => void
}

/** Reason of a response without a length whose connection broke. */
const BROKEN_CONNECTION_REASON = 'ECONNRESET'

/** An exchange in progress. */
export interface Exchange {
  /** @returns whether a byte of the request may have been sent */
  mayHaveBeenSent: () => boolean
  /** Closes the connection, upon which the endpoint cancels the request. The listener is not called afterwards. */
  abort: () => void
}

/**
 * @param pool - connections to the endpoint
 * @param request - request to send
 * @param listener - receives the response
 * @returns the exchange
 */
export function startExchange (pool: Pool, request: ExchangeRequest, listener: ExchangeListener): Exchange {
  let abortUpstream: ((error?: Error) => void) | undefined
  let ended = false
  let aborted = false
  let framed = true
  const finish = (notify: () => void): void => {
    if (ended) return
    ended = true
    notify()
  }
  const fail = (error: Error): void => finish(() => {
    listener.onFailure({ notSent: abortUpstream === undefined, reason: reasonOf(error) })
  })
  const handler = {
    onConnect: (abort: (error?: Error) => void) => {
      if (aborted) abort()
      else abortUpstream = abort
    },
    onHeaders: (status: number, raw: Buffer[]) => {
      if (ended || status < 200) return true
      const rawHeaders = raw.map(text => text.toString('latin1'))
      const headers = headerMap(rawHeaders)
      framed = request.method === 'HEAD' || isFramed(status, name => headers.get(name))
      listener.onHead(status, headers, rawHeaders, framed)
      return true
    },
    onData: (chunk: Buffer) => {
      if (!ended) listener.onData(chunk)
      return true
    },
    onComplete: () => {
      if (framed || pool.lastConnectionEnd() === 'closed') finish(listener.onComplete)
      else finish(() => listener.onFailure({ notSent: false, reason: BROKEN_CONNECTION_REASON }))
    },
    // A closed pool fails within `dispatch`, before the caller has received the exchange.
    onError: (error: Error) => {
      if (dispatched) fail(error)
      else queueMicrotask(() => fail(error))
    }
  }
  let dispatched = false
  try {
    pool.dispatch({
      method: request.method as 'POST',
      path: request.path,
      headers: request.headers,
      body: request.body
    }, handler)
  } catch (error) {
    queueMicrotask(() => fail(error as Error))
  }
  dispatched = true
  return {
    mayHaveBeenSent: () => abortUpstream !== undefined,
    abort: () => {
      aborted = true
      ended = true
      abortUpstream?.(new Error('aborted by the sender'))
    }
  }
}

function headerMap (rawHeaders: readonly string[]): Map<string, string> {
  const map = new Map<string, string>()
  for (let index = 0; index < rawHeaders.length; index += 2) map.set(rawHeaders[index].toLowerCase(), rawHeaders[index + 1])
  return map
}

function reasonOf (error: Error & { code?: string }): string {
  return error.code ?? error.message
}
