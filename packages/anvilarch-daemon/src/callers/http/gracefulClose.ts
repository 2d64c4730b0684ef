/** Closes an HTTP server without cutting a request. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { type Clock, isCloseDelimited, sleep } from 'anvilarch-utils'

/** Closes one server. */
export interface GracefulCloser {
  /**
   * Takes no more connections, and resolves when the last request is finished.
   *
   * @param timeoutMs - bound after which the rest is cut
   * @returns false when something had to be cut
   */
  close: (timeoutMs: number) => Promise<boolean>
}

/** How often connections are looked at that have become idle since. */
const IDLE_CHECK_MS = 50

/** A connection may have been opened just now for a request that is on its way. */
const UNUSED_CONNECTION_MS = 1_000

/**
 * @param server - to close later; it must not have connections yet
 * @param clock - for the bounds
 * @returns its closer
 */
export function createGracefulCloser (server: Server, clock: Clock): GracefulCloser {
  /** Open connections, with the last answer on each. */
  const sockets = new Map<Socket, ServerResponse | undefined>()
  server.on('connection', (socket: Socket) => {
    sockets.set(socket, undefined)
    socket.once('close', () => { sockets.delete(socket) })
  })
  server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    if (sockets.has(socket)) sockets.set(socket, response)
  })

  /**
   * Pools open connections ahead of use. The server takes one that never sent a byte for busy, and would wait for it
   * until the whole bound has passed.
   */
  const closeUnused = (): void => {
    for (const socket of sockets.keys()) {
      if (socket.bytesRead === 0) socket.destroy()
    }
  }

  /**
   * A response that began before the drain could not announce the end of its connection, which then stays open, idle, for
   * as long as its client likes.
   */
  const closeIdle = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await sleep(clock, IDLE_CHECK_MS, signal)
      server.closeIdleConnections()
    }
  }

  const cutAll = (): void => {
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
      const whole = await Promise.race([closed, expired])
      finished.abort()
      unused.cancel()
      if (!whole) cutAll()
      return whole
    }
  }
}
