/** Limits the requests that a process has taken and not answered, by the memory of their heads and objects. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Requests that were taken. */
export interface RequestLimits {
  /**
   * @param request - a request whose head has come
   * @param unfinishedBefore - unfinished requests before it on its connection
   * @returns a function that ends the use of the request; undefined if there is no room for it
   */
  take: (request: IncomingMessage, unfinishedBefore: number) => (() => void) | undefined
}

/** Requests that may wait on a connection for those before them. Clients that do not pipeline have none. */
export const MAX_WAITING_REQUESTS = 100

/** Memory that a request takes besides its head, until its response is complete. */
const REQUEST_BYTES = 6 * 1024

/** Share of the memory that requests which wait on their connections may take, so that others find room. */
const WAITING_SHARE = 0.5

/**
 * @param requestBytes - memory for all requests
 * @returns limits that no request uses
 */
export function createRequestLimits (requestBytes: number): RequestLimits {
  const taken = { waiting: 0, first: 0 }
  const limitBytes = { waiting: requestBytes * WAITING_SHARE, first: requestBytes * (1 - WAITING_SHARE) }
  return {
    take: (request, unfinishedBefore) => {
      const kind = unfinishedBefore > 0 ? 'waiting' : 'first'
      const bytes = headBytes(request) + REQUEST_BYTES
      if (unfinishedBefore > MAX_WAITING_REQUESTS || taken[kind] + bytes > limitBytes[kind]) return undefined
      taken[kind] += bytes
      let released = false
      return () => {
        if (!released) taken[kind] -= bytes
        released = true
      }
    }
  }
}

/**
 * Computes the size of a request head on the wire.
 *
 * @param request - a request whose head has been parsed
 * @returns size in bytes
 */
export function headBytes (request: IncomingMessage): number {
  const lineBytes = (request.method ?? '').length + (request.url ?? '').length + ' HTTP/1.1\r\n\r\n'.length + 1
  // Each name is followed by a colon and a space, each value by CRLF.
  return request.rawHeaders.reduce((bytes, part) => bytes + part.length + 2, lineBytes)
}

/**
 * Reads and discards what else comes on a connection. Left unread, it would stay in the memory of the host, and parsed, each request in it
 * would take memory of the process.
 *
 * @param socket - connection of a client, on which no further request is handled
 */
export function discardIncoming (socket: Socket): void {
  socket.removeAllListeners('data')
  socket.on('data', () => {})
  socket.resume()
}
