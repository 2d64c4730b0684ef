/** Closes connections after a response to a request whose body is still being sent, without losing that response. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from 'anvilarch-utils'

/** Longest time for which the rest of a body is read and discarded. */
export const LINGER_MS = 1000

/** Connections that are closed once the rest of a body has been read. */
export interface LingeringClose {
  /** Registers the request that is being read from its connection. */
  onRequest: (request: IncomingMessage) => void
  /** @returns number of connections on which a body is being discarded */
  count: () => number
}

/**
 * A connection that is closed with unread bytes is reset, and the reset may overtake a response that the client has not read. So the
 * sending side is closed first, and the rest of the body is read.
 *
 * @param clock - local clock
 * @returns the functions that a server calls
 */
export function createLingeringClose (clock: Clock): LingeringClose {
  const lingering = new Set<Socket>()

  const linger = (socket: Socket, request: IncomingMessage): void => {
    socket.end()
    lingering.add(socket)
    const destroy = (): void => { socket.destroy() }
    const timer = clock.after(LINGER_MS, destroy)
    socket.once('close', () => {
      timer.cancel()
      lingering.delete(socket)
    })
    request.once('end', destroy)
    request.resume()
  }

  return {
    onRequest: request => {
      const { socket } = request
      const destroySoon = Object.getPrototypeOf(socket).destroySoon as () => void
      // Node.js calls this after a response with `Connection: close`.
      socket.destroySoon = () => {
        if (request.complete || socket.destroyed) destroySoon.call(socket)
        else if (!lingering.has(socket)) linger(socket, request)
      }
    },
    count: () => lingering.size
  }
}
