/** The listener for clients: bounds what they send and how long they take, and answers bytes that are no request. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { type Clock, cutAnswer } from 'anvilarch-utils'
import type { ClientLimits } from '../model/types'
import type { EventLog } from '../telemetry/events'

/** A listener for clients. */
export interface ClientServer {
  server: Server
  /** Puts the times of a configuration in force. Sizes depend on the configuration that a request meets. */
  applyLimits: (limits: ClientLimits) => void
  /** @returns requests that have no whole answer yet */
  unfinishedRequests: () => UnfinishedRequest[]
  /** Ends all connections. Answers that have begun are cut, so that they do not look complete. */
  close: () => void
}

/** A request that has no whole answer yet. */
export interface UnfinishedRequest {
  method: string
  path: string
  /** Local time at which its head had arrived. */
  arrivedAtMs: number
}

/** Options of `createClientServer`. */
export interface ClientServerOptions {
  log: EventLog
  clock: Clock
  /** `arrivedAtMs`: local time at which the head had arrived, which may be long before the request is taken. */
  onRequest: (request: IncomingMessage, response: ServerResponse, arrivedAtMs: number) => void
}

/** How often the server looks for heads that take too long. */
const HEAD_CHECK_INTERVAL_MS = 500

/** The announced limit is extended by this, so that a client that keeps to it never meets a closed connection. */
const IDLE_MARGIN_MS = 2000

/**
 * The parser gives up at this size whatever the configuration says, since it is set once, before there is a configuration.
 * Node's default of 16 KiB would refuse heads that a configuration allows.
 */
const HEAD_CEILING_BYTES = 256 * 1024

/** Statuses of what the parser rejects, by its error code; all else is malformed. */
const REJECTIONS: ReadonlyMap<string, { status: number, reason: string }> = new Map([
  ['HPE_HEADER_OVERFLOW', { status: 431, reason: 'Request Header Fields Too Large' }],
  ['ERR_HTTP_REQUEST_TIMEOUT', { status: 408, reason: 'Request Timeout' }]
])

const MALFORMED = { status: 400, reason: 'Bad Request' }

/**
 * @param options - log and handler
 * @returns the listener, which does not listen yet
 */
export function createClientServer (options: ClientServerOptions): ClientServer {
  const inProgress = new Map<ServerResponse, { socket: Socket, unfinished: UnfinishedRequest }>()
  const inTurn = createTurns(options.onRequest)
  const server = createServer({ connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS, requestTimeout: 0, maxHeaderSize: HEAD_CEILING_BYTES }, (request, response) => {
    const unfinished = { method: request.method ?? '', path: request.url ?? '', arrivedAtMs: options.clock.nowMs() }
    inProgress.set(response, { socket: request.socket, unfinished })
    response.on('close', () => inProgress.delete(response))
    inTurn(request, response, unfinished.arrivedAtMs)
  })
  const answersOn = (socket: Socket): ServerResponse[] => [...inProgress].filter(([, entry]) => entry.socket === socket).map(([response]) => response)
  // Node.js closes the connection of a client that has ended its side, which a client of HTTP/1.0 would take for the end of its answer.
  server.on('connection', socket => { socket.prependListener('end', () => answersOn(socket).forEach(cutUnfinished)) })
  server.on('clientError', (error: Error & { code?: string }, socket: Socket) => {
    const { status, reason } = REJECTIONS.get(error.code ?? '') ?? MALFORMED
    const midway = answersOn(socket)
    if (error.code === 'ECONNRESET' || !socket.writable || midway.length > 0) {
      // Bytes of ours within an answer in progress would pass for a part of it.
      midway.forEach(cutUnfinished)
      socket.destroy()
      return
    }
    options.log.info('client bytes rejected', { status, reason: error.code ?? error.message })
    socket.end(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })
  return {
    server,
    applyLimits: limits => {
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
    },
    unfinishedRequests: () => [...inProgress.values()].map(entry => entry.unfinished),
    close: () => {
      server.close()
      for (const response of inProgress.keys()) cutUnfinished(response)
      server.closeAllConnections()
    }
  }
}

function cutUnfinished (response: ServerResponse): void {
  if (!response.writableEnded) cutAnswer(response)
}

/**
 * A client may send its next request before it has the answer to the one before. The answer to the next one gets the connection only
 * when the one before is whole; until then nothing tells that the client has left, and a cut does not reach the client.
 *
 * @param onRequest - takes a request
 * @returns takes a request once its answer has the connection; not at all where the connection ends before
 */
function createTurns (onRequest: ClientServerOptions['onRequest']): ClientServerOptions['onRequest'] {
  return (request, response, arrivedAtMs) => {
    if (response.socket !== null) {
      onRequest(request, response, arrivedAtMs)
      return
    }
    // Nobody else tells those who wait for the end of an answer that never gets the connection.
    const tellClosed = (): void => { response.emit('close') }
    request.once('close', tellClosed)
    response.once('socket', () => {
      request.off('close', tellClosed)
      // Node.js hands over the connection within the end of the answer before, whose listeners come first.
      process.nextTick(() => { if (!response.destroyed) onRequest(request, response, arrivedAtMs) })
    })
  }
}

/**
 * @param request - whose head has been read
 * @returns size of its head on the wire
 */
export function headBytes (request: IncomingMessage): number {
  const lineBytes = (request.method ?? '').length + (request.url ?? '').length + ' HTTP/1.1\r\n\r\n'.length + 1
  // Each name is followed by a colon and a space, each value by the end of the line.
  return request.rawHeaders.reduce((bytes, part) => bytes + part.length + 2, lineBytes)
}
