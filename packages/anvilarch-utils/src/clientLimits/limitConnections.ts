/** Limits the connections of an HTTP server, and closes those on which no request comes. */
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Timer } from '../clock'

/** Why a connection was closed. `unused`: no request has come on it. `refused`: all others have requests. `overdue`: it was idle for too long. */
export type ConnectionClosure = 'unused' | 'idle' | 'refused' | 'overdue'

/** Options of `limitConnections`. */
export interface ConnectionLimitOptions {
  clock: Clock
  maxConnections: number
  /** @returns longest time from a response until the next request is complete in its head */
  maxIdleMs: () => number
  onClosed: (end: ConnectionClosure) => void
}

const OVERDUE_CHECK_MS = 500

/** Connections in the order in which they entered their state, with the time at which they did. */
type Connections = Map<Socket, number>

/**
 * Beyond the limit, the connection that has been without a request for longest makes room: first one on which none has come, then an idle
 * one. An ordinary client sends its request at once, so that it is the last to be closed.
 *
 * @param server - server without connections
 * @param options - limits
 */
export function limitConnections (server: Server, { clock, maxConnections, maxIdleMs, onClosed }: ConnectionLimitOptions): void {
  const unused: Connections = new Map()
  const idle: Connections = new Map()
  /** Unfinished responses of connections that have some. */
  const busy = new Map<Socket, number>()
  let timer: Timer | undefined

  const closeOldest = (connections: Connections, end: ConnectionClosure): boolean => {
    const [socket] = connections.keys()
    if (socket === undefined) return false
    connections.delete(socket)
    onClosed(end)
    socket.destroy()
    return true
  }

  const closeOverdue = (): void => {
    timer = undefined
    const dueMs = clock.nowMs() - maxIdleMs()
    for (const [, sinceMs] of idle) {
      if (sinceMs > dueMs) break
      closeOldest(idle, 'overdue')
    }
    watchIdle()
  }
  const watchIdle = (): void => {
    if (idle.size > 0 && server.listening) timer ??= clock.after(OVERDUE_CHECK_MS, closeOverdue)
  }

  server.prependListener('connection', (socket: Socket) => {
    if (unused.size + idle.size + busy.size >= maxConnections && !closeOldest(unused, 'unused') && !closeOldest(idle, 'idle')) {
      onClosed('refused')
      socket.destroy()
      return
    }
    unused.set(socket, clock.nowMs())
    socket.once('close', () => { for (const connections of [unused, idle, busy]) connections.delete(socket) })
  })
  server.prependListener('request', ({ socket }, response: ServerResponse) => {
    if (socket.destroyed) return
    unused.delete(socket)
    idle.delete(socket)
    busy.set(socket, (busy.get(socket) ?? 0) + 1)
    response.once('close', () => {
      const unfinished = busy.get(socket)
      if (unfinished === undefined) return
      if (unfinished > 1) {
        busy.set(socket, unfinished - 1)
        return
      }
      busy.delete(socket)
      idle.set(socket, clock.nowMs())
      watchIdle()
    })
  })
  server.once('close', () => timer?.cancel())
}
