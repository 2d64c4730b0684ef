/** Lets connections that cost much processor time read in turn, so that the requests of others are read in between. */
import type { Socket } from 'node:net'

/** Turns of connections. */
export interface ReadTurns {
  /** Resumes a paused connection at its turn. */
  resumeInTurn: (socket: Socket) => void
}

/** @returns turns of which one begins in each turn of the event loop */
export function createReadTurns (): ReadTurns {
  const waiting = new Set<Socket>()
  const next = (): void => {
    const [socket] = waiting
    if (socket === undefined) return
    waiting.delete(socket)
    if (!socket.destroyed) socket.resume()
    if (waiting.size > 0) setImmediate(next)
  }
  return {
    resumeInTurn: socket => {
      if (waiting.size === 0) setImmediate(next)
      waiting.add(socket)
    }
  }
}
