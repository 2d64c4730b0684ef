/** Distinguishes connections that the other side has closed in order from broken ones. */
import type { Socket } from 'node:net'

/** How a connection ended: closed in order by the other side, or reset, timed out or closed by this process. */
export type ConnectionEnd = 'closed' | 'broken'

/**
 * Node.js reports an `end` event, as after an orderly close, where a reset arrives together with the last bytes.
 *
 * @param socket - a connected socket whose `remoteAddress` has not been read, since the socket would keep the first result
 * @param onEnd - called once, before listeners that are registered later
 */
export function watchConnectionEnd (socket: Socket, onEnd: (end: ConnectionEnd) => void): void {
  let ended = false
  const end = (connectionEnd: ConnectionEnd): void => {
    if (ended) return
    ended = true
    onEnd(connectionEnd)
  }
  // A reset connection has no peer any more.
  socket.on('end', () => end(socket.remoteAddress === undefined ? 'broken' : 'closed'))
  socket.on('error', () => end('broken'))
  socket.on('close', () => end('broken'))
}

/** Opens connections, as undici calls it. */
export type Connector<Options> = (options: Options, callback: (...result: [error: Error, socket: null] | [error: null, socket: Socket]) => void) => void

/** A connector, and how the connection has ended that ended last. */
export interface WatchedConnector<Options> {
  connect: Connector<Options>
  /** @returns the end that is being reported, if called while a listener of the socket handles its end */
  lastEnd: () => ConnectionEnd
}

/**
 * undici completes a response without a length at the end of its connection, also after a reset. A handler that undici calls
 * synchronously at that end can look up here how the connection ended.
 *
 * @param connect - opens connections
 * @returns the same connector, which watches its connections
 */
export function watchConnector<Options> (connect: Connector<Options>): WatchedConnector<Options> {
  let lastEnd: ConnectionEnd = 'broken'
  return {
    connect: (options, callback) => connect(options, (...result) => {
      const [error, socket] = result
      if (error === null) watchConnectionEnd(socket, end => { lastEnd = end })
      callback(...result)
    }),
    lastEnd: () => lastEnd
  }
}
