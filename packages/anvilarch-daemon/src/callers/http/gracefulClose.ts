/** Closes an HTTP server after its requests in progress have completed. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { type Clock, isCloseDelimited, sleep } from 'anvilarch-utils'

/** Closes a server. */
export interface GracefulCloser {
  /**
   * Stops accepting connections and resolves when the last request is complete.
   *
   * @param timeoutMs - time after which the remaining requests are aborted
   * @returns false if requests had to be aborted
   */
  close: (timeoutMs: number) => Promise<boolean>
}

/** Interval of the checks for connections that have become idle. */
const IDLE_CHECK_MS = 50

/** Grace period for new connections, whose first request may be about to arrive. */
const UNUSED_CONNECTION_MS = 1_000

/**
 * @param server - the server; it must not have connections yet
 * @param clock - clock for the timeouts
 * @returns the closer
 */
export function createGracefulCloser (server: Server, clock: Clock): GracefulCloser {
  /** Open connections with their last response. */
  const sockets = new Map<Socket, ServerResponse | undefined>()
  server.on('connection', (socket: Socket) => {
    sockets.set(socket, undefined)
    socket.once('close', () => { sockets.delete(socket) })
  })
  server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    if (sockets.has(socket)) sockets.set(socket, response)
  })

  /**
   * Connection pools open connections ahead of use. The server counts one that never sent a byte as busy and would wait for it
   * until the timeout.
   */
  const closeUnused = (): void => {
    for (const socket of sockets.keys()) {
      if (socket.bytesRead === 0) socket.destroy()
    }
  }

  /**
   * A response that started before the drain could not announce the close of its connection, which then stays open and idle
   * until the client closes it.
   */
  const closeIdle = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await sleep(clock, IDLE_CHECK_MS, signal)
      server.closeIdleConnections()
    }
  }

  const abortAll = (): void => {
    for (const [socket, response] of sockets) {
      if (response !== undefined && !response.writableFinished && isCloseDelimited(response)) socket.resetAndDestroy()
      else socket.destroy()
    }
  }

  return {
    close: async timeoutMs => {
      const finished = new AbortController()
      const closed = new Promise<true>(resolve => { server.close(() => { resolve(true) }) })
      const unused = clock.after(UNUSED_CONNECTION_MS, closeUnused)
      const expired = sleep(clock, timeoutMs, finished.signal).then(() => false)
      closeIdle(finished.signal).catch(() => {})
      const isDrained = await Promise.race([closed, expired])
      finished.abort()
      unused.cancel()
      if (!isDrained) abortAll()
      return isDrained
    }
  }
}
