/** HTTP server for clients: limits the size and duration of request heads and rejects bytes that do not form a request. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as TcpServer, type Socket } from 'node:net'
import { type Clock, abortResponse, type ClientShares, type ConnectionClosure, createPipelineHandler, createRequestLimits, discardIncoming, limitConnections, type Timer } from 'anvilarch-utils'
import type { ClientLimits } from '../model/types'
import type { EventLog } from '../telemetry/events'
import { cutResponse, markFollowed } from '../requests/clientResponse'
import type { LogRateLimiter } from '../telemetry/logRateLimiter'
import type { ServingMetrics } from '../telemetry/metrics'
import { createConnectionAdmission } from './connectionAdmission'
import { createLingeringClose } from './lingeringClose'

/** HTTP server for clients. */
export interface ClientServer {
  server: Server
  /** Applies the timeouts of a configuration. Size limits are checked for each request against the configuration in force. */
  applyLimits: (limits: ClientLimits) => void
  /** @returns requests whose response is not complete */
  unfinishedRequests: () => UnfinishedRequest[]
  /** @returns whether each response has been flushed and each connection whose client was still sending is closed */
  isSettled: () => boolean
  /**
   * Accepts no further connections, and closes each open one as soon as it has no unfinished response.
   *
   * @returns a promise that resolves when the requests that had come before are in progress
   */
  finish: () => Promise<void>
  /** Waits until what the sockets of this process have received so far has been handled, as far as one turn of the event loop reads it. */
  readArrived: () => Promise<void>
  /** Closes all connections. Unfinished responses are cut so that they do not look complete. */
  close: () => void
}

/** A request whose response is not complete. */
export interface UnfinishedRequest {
  method: string
  path: string
  /** Local time at which the head was received. */
  arrivedAtMs: number
}

/** Options of `createClientServer`. */
export interface ClientServerOptions {
  log: EventLog
  clock: Clock
  metrics: Pick<ServingMetrics, 'connectionsClosedUnread' | 'connectionsClosedByDrain' | 'connectionsClosedAtLimit' | 'pipelinesEnded' | 'logLinesLeftOut'>
  /** What all clients may occupy together. */
  shares: Pick<ClientShares, 'connections' | 'requestBytes'>
  /** Limits the log lines about what clients that do not behave cause. */
  logRateLimiter: LogRateLimiter
  /** @returns how late this process may read requests */
  maxLatenessMs: () => number
  /** `arrivedAtMs`: local time at which the head was received. A pipelined request may be passed on much later. */
  onRequest: (request: IncomingMessage, response: ServerResponse, arrivedAtMs: number) => void
  /** Called for a request for which there is no room. It is to be answered at once. */
  onNoRoom: (request: IncomingMessage, response: ServerResponse) => void
  /** Called for a request that comes on a connection that this process has ended. It is not handled. */
  onDropped?: (request: IncomingMessage) => void
}

/** Connection of a client. */
interface ClientConnection {
  /** Responses that are not complete, those of requests that wait included. */
  responses: Set<ServerResponse>
  lastResponse?: ServerResponse
  /** Limit of its parser. */
  headLimitBytes: number
}

/** @returns limit of the parser, which counts somewhat less than the size of a head on the wire */
function headLimitBytes (limits: ClientLimits | undefined): number {
  return Math.min(MAX_HEAD_BYTES, limits?.maxHeaderBytes ?? MAX_HEAD_BYTES)
}

/** Interval at which Node.js checks for heads that exceed the header timeout. */
const HEAD_CHECK_INTERVAL_MS = 500

/** Added to the announced idle timeout, so that a client that respects it never sends on a closed connection. */
const IDLE_MARGIN_MS = 2000

/** Limit of the parser until a configuration is available. The Node.js default of 16 KiB would reject heads that it may allow. */
const MAX_HEAD_BYTES = 256 * 1024

/** Error code of a head that exceeds the header timeout. */
const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Errors of a head that is not handled, on a connection whose requests before it may be. */
const HEAD_ERROR_CODES: ReadonlySet<string> = new Set([HEAD_TIMEOUT_CODE, 'HPE_HEADER_OVERFLOW'])

/** Responses to parser errors by error code. All other errors count as malformed. */
const PARSER_ERROR_RESPONSES: ReadonlyMap<string, { status: number, reason: string }> = new Map([
  ['HPE_HEADER_OVERFLOW', { status: 431, reason: 'Request Header Fields Too Large' }],
  [HEAD_TIMEOUT_CODE, { status: 408, reason: 'Request Timeout' }]
])

const MALFORMED = { status: 400, reason: 'Bad Request' }

/**
 * Creates the server without starting to listen.
 *
 * @param options - log, clock and request handler
 * @returns the server
 */
export function createClientServer (options: ClientServerOptions): ClientServer {
  const inProgress = new Map<ServerResponse, UnfinishedRequest>()
  const connections = new Map<Socket, ClientConnection>()
  const lingeringClose = createLingeringClose(options.clock)
  /** Connections that are closed after their last response. */
  const closingConnections = new WeakSet<Socket>()
  let finishing = false
  const handleInOrder = createPipelineHandler(options.onRequest)
  const requestLimits = createRequestLimits(options.shares.requestBytes)
  let limits: ClientLimits | undefined
  const responsesOn = (socket: Socket): ServerResponse[] => [...connections.get(socket)?.responses ?? []]
  const countResponses = (socket: Socket): number => connections.get(socket)?.responses.size ?? 0
  const logLimited = (write: () => void): void => {
    if (options.logRateLimiter.tryAcquire()) write()
    else options.metrics.logLinesLeftOut.inc()
  }
  const closeIfFinished = (socket: Socket): void => {
    if (countResponses(socket) > 0 || !socket.writable) return
    options.metrics.connectionsClosedByDrain.inc()
    socket.end()
  }
  const server: Server & { maxHeaderSize?: number } = createServer({ connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS, requestTimeout: 0, maxHeaderSize: MAX_HEAD_BYTES }, (request, response) => {
    const { socket } = request
    if (!socket.writable || closingConnections.has(socket)) {
      // The client was told that this request does not run, or sent it before it received the end of the connection. It may send it elsewhere.
      options.onDropped?.(request)
      if (finishing && !socket.writable && !lingeringClose.isLingering(socket)) socket.destroy()
      else request.resume()
      return
    }
    const connection = connections.get(socket)
    if (connection === undefined) return
    const unfinishedBefore = connection.responses.size
    const releaseRequest = requestLimits.take(request, unfinishedBefore)
    if (releaseRequest === undefined && unfinishedBefore > 0) {
      endPipeline(request)
      return
    }
    lingeringClose.onRequest(request)
    const unfinished = { method: request.method ?? '', path: request.url ?? '', arrivedAtMs: options.clock.nowMs() }
    if (unfinishedBefore > 0 && connection.lastResponse !== undefined) markFollowed(connection.lastResponse)
    connection.lastResponse = response
    connection.responses.add(response)
    inProgress.set(response, unfinished)
    response.on('close', () => {
      releaseRequest?.()
      inProgress.delete(response)
      connection.responses.delete(response)
      if (finishing) closeIfFinished(socket)
      else if (closingConnections.has(socket) && countResponses(socket) === 0) lingeringClose.endConnection(socket)
    })
    closeIfOutdated(response, () => connection.lastResponse === response && connection.headLimitBytes < headLimitBytes(limits))
    if (releaseRequest === undefined) options.onNoRoom(request, response)
    else handleInOrder(request, response, unfinished.arrivedAtMs)
  })
  /** The requests before are answered, and the connection is closed after them. What else comes on it is not parsed. */
  const endPipeline = (request: IncomingMessage): void => {
    closingConnections.add(request.socket)
    options.metrics.pipelinesEnded.inc()
    logLimited(() => options.log.info('pipeline ended', { waitingCount: countResponses(request.socket), connectionCount: connections.size }))
    options.onDropped?.(request)
    discardIncoming(request.socket)
  }
  server.on('connection', (socket: Socket) => {
    if (socket.destroyed) return
    connections.set(socket, { responses: new Set(), headLimitBytes: headLimitBytes(limits) })
    socket.once('close', () => connections.delete(socket))
  })
  limitConnections(server, {
    clock: options.clock,
    maxConnections: options.shares.connections,
    maxIdleMs: () => limits === undefined ? Infinity : limits.idleTimeoutMs + IDLE_MARGIN_MS + limits.headerTimeoutMs,
    onClosed: (reason: ConnectionClosure) => {
      options.metrics.connectionsClosedAtLimit.inc({ reason })
      logLimited(() => options.log.info('connection closed at the limit', { reason, connectionCount: connections.size }))
    }
  })
  // Node.js closes the connection when the client half-closes it. An HTTP/1.0 client would take that as the end of a complete response.
  server.on('connection', socket => { socket.prependListener('end', () => responsesOn(socket).forEach(response => cutUnfinishedResponse(response))) })
  closeExcessConnections(server, options)
  server.on('clientError', (error: Error & { code?: string }, socket: Socket) => {
    if (lingeringClose.isLingering(socket)) return
    if (HEAD_ERROR_CODES.has(error.code ?? '') && countResponses(socket) > 0) {
      // The requests before this head have come whole.
      closingConnections.add(socket)
      return
    }
    const { status, reason } = PARSER_ERROR_RESPONSES.get(error.code ?? '') ?? MALFORMED
    const unfinishedResponses = responsesOn(socket)
    if (error.code === 'ECONNRESET' || !socket.writable || unfinishedResponses.length > 0) {
      // An error response sent now would become part of the response in progress.
      unfinishedResponses.forEach(response => cutUnfinishedResponse(response, error.code === 'ECONNRESET' ? undefined : error.code ?? error.message))
      socket.destroy()
      return
    }
    logLimited(() => options.log.info('client bytes rejected', { status, reason: error.code ?? error.message }))
    lingeringClose.rejectConnection(socket, `HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })
  return {
    server,
    applyLimits: next => {
      limits = next
      server.headersTimeout = next.headerTimeoutMs
      server.keepAliveTimeout = next.idleTimeoutMs + IDLE_MARGIN_MS
      // The parser of a connection has the limit with which it was opened.
      server.maxHeaderSize = headLimitBytes(next)
    },
    unfinishedRequests: () => [...inProgress.values()],
    isSettled: () => inProgress.size === 0 && lingeringClose.count() === 0,
    finish: async () => {
      // This process may be late: connections and requests that came before are accepted and read first.
      await acceptArrived(server)
      stopListening(server)
      await readArrived()
      finishing = true
      for (const socket of connections.keys()) closeIfFinished(socket)
    },
    readArrived,
    close: () => {
      server.close()
      for (const response of inProgress.keys()) cutUnfinishedResponse(response, 'gateway_closed')
      server.closeAllConnections()
    }
  }
}

/** Announces with a response that its connection ends, if that is so when its head is written. */
function closeIfOutdated (response: ServerResponse, isOutdated: () => boolean): void {
  const writeHead = response.writeHead.bind(response) as (...values: unknown[]) => ServerResponse
  response.writeHead = (...values: unknown[]) => {
    if (isOutdated() && !response.headersSent) response.setHeader('Connection', 'close')
    return writeHead(...values)
  }
}

/** Time of the timer that shows whether this process is late. */
const LATENESS_TIMER_MS = 20

/** Closes new connections, with their requests unread, while this process is late because far more than usual come to it. */
function closeExcessConnections (server: Server, { clock, metrics, maxLatenessMs }: Pick<ClientServerOptions, 'clock' | 'metrics' | 'maxLatenessMs'>): void {
  const admission = createConnectionAdmission(clock, maxLatenessMs)
  let timer: Timer | undefined
  // There is a timer only while connections come.
  const measureLateness = (): void => {
    const dueAtMs = clock.nowMs() + LATENESS_TIMER_MS
    timer ??= clock.after(LATENESS_TIMER_MS, () => {
      timer = undefined
      admission.onTimerLateness(clock.nowMs() - dueAtMs)
    })
  }
  server.prependListener('connection', (socket: Socket) => {
    measureLateness()
    if (admission.admit()) return
    metrics.connectionsClosedUnread.inc()
    socket.destroy()
  })
  server.on('close', () => timer?.cancel())
}

/** Connections that may wait to be accepted: the default backlog of Node.js. */
const MAX_WAITING_CONNECTIONS = 511

/** Waits until the connections that had come are accepted. The event loop accepts one in each turn. */
async function acceptArrived (server: Server): Promise<void> {
  let accepted = true
  const onConnection = (): void => { accepted = true }
  server.on('connection', onConnection)
  for (let count = 0; accepted && count < MAX_WAITING_CONNECTIONS; count++) {
    accepted = false
    await readArrived()
  }
  server.off('connection', onConnection)
}

/** Waits until the event loop has handled what the sockets have received. */
export async function readArrived (): Promise<void> {
  // The first one may come without a look at the sockets, if this is called from one of their events.
  await new Promise(resolve => setImmediate(resolve))
  await new Promise(resolve => setImmediate(resolve))
}

/** Accepts no further connections. `close` of an HTTP server also destroys connections whose response has been ended but not flushed. */
function stopListening (server: Server): void {
  TcpServer.prototype.close.call(server)
}

/** @param reason - why this process closes the connection; undefined if the client has closed it */
function cutUnfinishedResponse (response: ServerResponse, reason?: string): void {
  if (response.writableEnded) return
  if (reason === undefined) abortResponse(response)
  else cutResponse(response, reason)
}
