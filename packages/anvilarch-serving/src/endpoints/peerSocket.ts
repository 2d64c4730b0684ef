/** UDP socket through which a daemon exchanges datagrams with other daemons. */
import { createSocket } from 'node:dgram'
import type { Clock } from 'anvilarch-utils'
import type { EventLog } from '../telemetry/events'
import { createLogRateLimiter } from '../telemetry/logRateLimiter'
import { decodePeerMessage, encodePeerMessage, type PeerMessage } from './peerMessages'

/** Address of the peer port of a process. */
export interface PeerAddress {
  ip: string
  port: number
}

/** @returns the address in a text of the form IP:PORT */
export function parsePeerAddress (text: string): PeerAddress {
  const [ip, port] = text.split(':')
  return { ip, port: Number(port) }
}

/** Sends messages to peers; received ones are passed to `onMessage`. */
export interface PeerSocket {
  send: (message: PeerMessage, to: PeerAddress) => void
  close: () => void
}

/** Limit of log lines about unreadable datagrams, since any host can send them. */
const UNREADABLE_LINES_PER_SECOND = 1

/** Limit of log lines about datagrams that cannot be sent: one is sent for each request. */
const UNSENT_LINES_PER_SECOND = 1

/** Options of `openPeerSocket`. */
export interface PeerSocketOptions {
  clock: Clock
  log: EventLog
  own: PeerAddress
  onMessage: (message: PeerMessage, from: PeerAddress) => void
}

/**
 * @param options - address and listener
 * @returns the open socket
 */
export function openPeerSocket (options: PeerSocketOptions): PeerSocket {
  const { log, own } = options
  const logRateLimiter = createLogRateLimiter(options.clock, UNREADABLE_LINES_PER_SECOND)
  const sendLogRateLimiter = createLogRateLimiter(options.clock, UNSENT_LINES_PER_SECOND)
  const socket = createSocket('udp4')
  let closed = false
  socket.on('error', error => log.warn('peer socket failed', { reason: error.message }))
  socket.on('message', (bytes, sender) => {
    const message = decodePeerMessage(bytes)
    if (message !== undefined) options.onMessage(message, { ip: sender.address, port: sender.port })
    else if (logRateLimiter.tryAcquire()) log.warn('peer message not readable', { from: sender.address, bytes: bytes.length })
  })
  socket.bind(own.port, own.ip)
  return {
    send: (message, to) => {
      if (closed) return
      try {
        socket.send(encodePeerMessage(message), to.port, to.ip, () => {
          // A datagram that cannot be sent is treated like a lost one.
        })
      } catch (error) {
        // Node.js throws for a port that is out of range.
        if (sendLogRateLimiter.tryAcquire()) log.warn('peer message not sent', { to: `${to.ip}:${to.port}`, reason: (error as Error).message })
      }
    },
    close: () => {
      closed = true
      socket.close()
    }
  }
}
