/** Closes connections after a response to a client that is still sending, without losing that response. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from 'anvilarch-utils'

/** Longest time for which the rest of what a client sends is read and discarded. */
export const LINGER_MS = 1000

/** Connections that are closed once what their clients still send has been read. */
export interface LingeringClose {
  /** Registers the request that is being read from its connection. */
  onRequest: (request: IncomingMessage) => void
  /** Writes a response to bytes that are no request, or not yet, and ends the connection. */
  rejectConnection: (socket: Socket, response: string) => void
  /** Ends a connection on which nothing more is answered. */
  endConnection: (socket: Socket) => void
  /** @returns whether the connection is ended, so that nothing that comes on it can be answered */
  isLingering: (socket: Socket) => boolean
  /** @returns number of connections on which bytes are being discarded */
  count: () => number
}

/**
 * A connection that is closed with unread bytes is reset, and the reset may overtake a response that the client has not read. So the
 * sending side is closed first, and what the client still sends is read.
 *
 * @param clock - local clock
 * @returns the functions that a server calls
 */
export function createLingeringClose (clock: Clock): LingeringClose {
  const lingering = new Set<Socket>()

  /** @returns a function that closes the connection */
  const linger = (socket: Socket): () => void => {
    lingering.add(socket)
    const destroy = (): void => { socket.destroy() }
    const timer = clock.after(LINGER_MS, destroy)
    socket.once('close', () => {
      timer.cancel()
      lingering.delete(socket)
    })
    return destroy
  }

  return {
    onRequest: request => {
      const { socket } = request
      const destroySoon = Object.getPrototypeOf(socket).destroySoon as () => void
      // Node.js calls this after a response with `Connection: close`.
      socket.destroySoon = () => {
        if (request.complete || socket.destroyed) {
          destroySoon.call(socket)
          return
        }
        if (lingering.has(socket)) return
        socket.end()
        request.once('end', linger(socket))
        request.resume()
      }
    },
    rejectConnection: (socket, response) => {
      socket.end(response)
      socket.once('end', linger(socket))
    },
    endConnection: socket => {
      if (socket.destroyed || lingering.has(socket)) return
      socket.end()
      socket.once('end', linger(socket))
    },
    isLingering: socket => lingering.has(socket),
    count: () => lingering.size
  }
}
