/** Closes an HTTP server after its requests in progress have completed. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import { type Clock, isCloseDelimited, sleep } from 'anvilarch-utils'

/** Closes a server. */
export interface GracefulCloser {
  /**
   * Stops accepting connections and resolves when the last request is complete.
   *
   * @param timeoutMs - time after which the remaining requests are ended
   * @returns false if requests had to be ended
   */
  close: (timeoutMs: number) => Promise<boolean>
}

/** Grace period for new connections, whose first request may be about to arrive. */
const UNUSED_CONNECTION_MS = 1_000

/** Time for the client to close its side of a connection. */
const CLIENT_CLOSE_MS = 1_000

/** Time for the responses to requests that are ended to be flushed. */
const FINAL_RESPONSES_MS = 200

interface Connection {
  /** Responses that have not been flushed yet. */
  unfinished: Set<ServerResponse>
  /** Bytes read when the last response was flushed; more show that another request is arriving. */
  idleAtBytes: number
}

/**
 * @param server - the server; it must not have connections yet
 * @param clock - clock for the timeouts
 * @param respond - ends a response that has not begun when the timeout has passed; the others are cut
 * @returns the closer
 */
export function createGracefulCloser (server: Server, clock: Clock, respond: (response: ServerResponse) => void): GracefulCloser {
  const connections = new Map<Socket, Connection>()
  let isClosing = false

  /**
   * Half-closes a connection without a request. Destroying it would reset it if the client sends more, and a reset discards
   * the end of a response that the client has not read yet.
   */
  const closeIfIdle = (socket: Socket, { unfinished, idleAtBytes }: Connection): void => {
    if (unfinished.size > 0 || socket.bytesRead !== idleAtBytes || !socket.writable) return
    socket.end()
    const timer = clock.after(CLIENT_CLOSE_MS, () => { socket.destroy() })
    socket.once('close', () => { timer.cancel() })
  }

  server.on('connection', (socket: Socket) => {
    connections.set(socket, { unfinished: new Set(), idleAtBytes: 0 })
    socket.once('close', () => { connections.delete(socket) })
  })
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request
    const connection = connections.get(socket)
    if (connection === undefined) return
    connection.unfinished.add(response)
    const onRead = (): void => {
      connection.idleAtBytes = socket.bytesRead
      if (isClosing) closeIfIdle(socket, connection)
    }
    response.once('close', () => {
      connection.unfinished.delete(response)
      // A request that was rejected before its end is still being read.
      if (request.complete) onRead()
      else request.once('close', onRead)
    })
  })

  /** Connection pools open connections ahead of use. */
  const closeUnused = (): void => {
    for (const socket of connections.keys()) {
      if (socket.bytesRead === 0) socket.destroy()
    }
  }

  const respondToAll = async (): Promise<void> => {
    const notBegun = [...connections.values()].flatMap(({ unfinished }) => [...unfinished]).filter(response => !response.headersSent)
    const flushed = new AbortController()
    const allClosed = Promise.all(notBegun.map(response => new Promise(resolve => { response.once('close', resolve) })))
    notBegun.forEach(respond)
    await Promise.race([allClosed, sleep(clock, FINAL_RESPONSES_MS, flushed.signal)])
    flushed.abort()
  }

  const abortAll = (): void => {
    for (const [socket, { unfinished }] of connections) {
      if ([...unfinished].some(response => isCloseDelimited(response))) socket.resetAndDestroy()
      else socket.destroy()
    }
  }

  return {
    close: async timeoutMs => {
      const finished = new AbortController()
      isClosing = true
      const closed = new Promise<true>(resolve => { stopListening(server, () => { resolve(true) }) })
      for (const [socket, connection] of connections) {
        if (socket.bytesRead > 0) closeIfIdle(socket, connection)
      }
      const unused = clock.after(UNUSED_CONNECTION_MS, closeUnused)
      const expired = sleep(clock, timeoutMs, finished.signal).then(() => false)
      const isDrained = await Promise.race([closed, expired])
      finished.abort()
      unused.cancel()
      if (isDrained) return true
      await respondToAll()
      abortAll()
      return false
    }
  }
}

/** `close` of an HTTP server also destroys connections whose last response has been ended but not flushed. */
function stopListening (server: Server, onClosed: () => void): void {
  NetServer.prototype.close.call(server, () => {
    // Ends the check of header timeouts.
    server.close()
    onClosed()
  })
}
