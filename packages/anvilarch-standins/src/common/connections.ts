/** Tracks the open connections of one stand-in, so that they can be silenced or closed. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** Open connections of one server. */
export interface Connections {
  /**
   * Silences every open connection permanently: received data is ignored and written data is discarded.
   *
   * @param except - the connection of the request that set the fault
   */
  silenceAll: (except?: Socket) => void
  isSilent: (socket: Socket) => boolean
  /** Destroys every open connection. */
  destroyAll: () => void
}

/**
 * @param server - the server whose connections are tracked
 * @returns its open connections
 */
export function trackConnections (server: Server): Connections {
  const open = new Set<Socket>()
  const silent = new WeakSet<Socket>()
  server.on('connection', socket => {
    open.add(socket)
    socket.on('close', () => { open.delete(socket) })
  })
  return {
    silenceAll: except => {
      for (const socket of open) {
        if (socket !== except) silenceSocket(socket, silent)
      }
    },
    isSilent: socket => silent.has(socket),
    destroyAll: () => { for (const socket of open) socket.destroy() }
  }
}

/**
 * Discards everything that the stand-in writes to the connection, including its end. The kernel still acknowledges received
 * bytes, as when a device between two hosts has lost the state of the connection in one direction only.
 */
function silenceSocket (socket: Socket, silent: WeakSet<Socket>): void {
  silent.add(socket)
  socket.write = () => true
  socket.end = () => socket
}
