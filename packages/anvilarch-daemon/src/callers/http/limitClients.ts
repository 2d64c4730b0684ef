/** Limits the connections and the unanswered requests of callers. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { AnvilarchError, type ClientShares, type ConnectionClosure, createRequestLimits, discardIncoming, limitConnections } from 'anvilarch-utils'
import type { DaemonContext } from '../../context'
import { sendError } from './errorResponse'

/** Options of `limitClients`. */
export interface ClientLimitOptions {
  context: Pick<DaemonContext, 'clock' | 'logger' | 'metrics'>
  shares: Pick<ClientShares, 'connections' | 'requestBytes'>
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** Retry delay where there is no room for another request. Most requests take less time. */
const RETRY_AFTER_MS = 1_000

/** Log lines about connections that were closed, at most one in this time. */
const LOG_INTERVAL_MS = 1_000

/**
 * @param server - server without connections
 * @param options - limits
 * @returns a function that takes a request, or ends it and returns false
 */
export function limitClients (server: Server, { context, shares, headerTimeoutMs, idleTimeoutMs }: ClientLimitOptions): (request: IncomingMessage, response: ServerResponse) => boolean {
  const requestLimits = createRequestLimits(shares.requestBytes)
  const unfinished = new WeakMap<Socket, Set<ServerResponse>>()
  const ending = new WeakSet<Socket>()
  let loggedAtMs = -Infinity
  let leftOutCount = 0

  const report = (reason: ConnectionClosure | 'pipeline' | 'no_room'): void => {
    context.metrics.clientsLimited.inc({ reason })
    const nowMs = context.clock.nowMs()
    if (nowMs - loggedAtMs < LOG_INTERVAL_MS) {
      leftOutCount++
      return
    }
    context.logger.warn('a client met a limit of this gateway', { reason, leftOutCount })
    loggedAtMs = nowMs
    leftOutCount = 0
  }

  const endPipeline = (socket: Socket): void => {
    report('pipeline')
    ending.add(socket)
    discardIncoming(socket)
  }

  limitConnections(server, { clock: context.clock, maxConnections: shares.connections, maxIdleMs: () => idleTimeoutMs + headerTimeoutMs, onClosed: report })

  return (request, response) => {
    const { socket } = request
    if (ending.has(socket)) {
      request.resume()
      return false
    }
    const responses = unfinished.get(socket) ?? new Set()
    unfinished.set(socket, responses)
    const release = requestLimits.take(request, responses.size)
    if (release === undefined && responses.size > 0) {
      endPipeline(socket)
      request.resume()
      return false
    }
    responses.add(response)
    response.once('close', () => {
      responses.delete(response)
      release?.()
      if (ending.has(socket) && responses.size === 0) socket.destroySoon()
    })
    if (release !== undefined) return true
    report('no_room')
    response.setHeader('connection', 'close')
    sendError(response, new AnvilarchError('this gateway has no memory for another request', { code: 'overloaded', step: 'callers.requests', ran: 'not_run', retryAfterMs: RETRY_AFTER_MS }), '')
    return false
  }
}
