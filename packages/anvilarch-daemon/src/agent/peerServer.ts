/** The cleartext HTTP/2 server for gateways. */
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { type Clock, sleep } from 'anvilarch-utils'
import type { AgentOptions } from './options'

/** A listening server. */
export interface PeerServer {
  /** IP address and port. */
  address: string
  /**
   * Pings each connection at the ping interval and closes those whose ping has timed out. A connection dropped by a
   * network device in between would otherwise keep its streams open forever, and a drain would never end.
   */
  ping: (nowMs: number) => void
  /** Waits a limited time for streams in progress to end, then closes all connections. */
  close: () => Promise<void>
}

/** Interval and timeout of pings. */
export type PingOptions = Pick<AgentOptions, 'pingIntervalMs' | 'connectionTimeoutMs'>

/** Time for connections to close gracefully. */
const CLOSE_GRACE_MS = 1000

/** Maximum concurrent streams of one connection; a gateway may open one for each attempt in progress. */
const MAX_STREAMS = 10_000

/**
 * @param listen - IP address and port; port 0 selects a free one
 * @param routes - the services
 * @param clock - for the close timeout and the age of ping responses
 * @param options - interval and timeout of pings
 * @returns the server, once it listens
 */
export async function startPeerServer (listen: string, routes: (router: ConnectRouter) => void, clock: Clock, options: PingOptions): Promise<PeerServer> {
  const server = createServer({ settings: { maxConcurrentStreams: MAX_STREAMS } }, connectNodeAdapter({ routes, acceptCompression: [] }))
  const sessions = new Map<ServerHttp2Session, SessionLiveness>()
  server.on('session', session => {
    sessions.set(session, { lastAckMs: clock.nowMs(), isPingPending: false })
    session.once('close', () => { sessions.delete(session) })
    session.on('error', () => {})
  })
  const url = new URL(`http://${listen}`)
  await listenOn(server, url.hostname.replace(/^\[|\]$/g, ''), Number(url.port === '' ? 80 : url.port))
  const bound = server.address() as AddressInfo
  const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address
  return {
    address: `${host}:${bound.port}`,
    close: async () => {
      const closed = new Promise<void>(resolve => { server.close(() => { resolve() }) })
      for (const session of sessions.keys()) session.close()
      await Promise.race([closed, sleep(clock, CLOSE_GRACE_MS)])
      for (const session of sessions.keys()) session.destroy()
    },
    ping: nowMs => {
      for (const [session, liveness] of sessions) pingSession(session, liveness, nowMs, clock, options)
    }
  }
}

interface SessionLiveness {
  lastAckMs: number
  /** A ping has not been acknowledged yet. */
  isPingPending: boolean
}

function pingSession (session: ServerHttp2Session, liveness: SessionLiveness, nowMs: number, clock: Clock, options: PingOptions): void {
  const sinceAckMs = nowMs - liveness.lastAckMs
  if (liveness.isPingPending && sinceAckMs >= options.connectionTimeoutMs) {
    session.destroy()
    return
  }
  if (liveness.isPingPending || sinceAckMs < options.pingIntervalMs || session.destroyed) return
  liveness.isPingPending = session.ping(() => {
    liveness.isPingPending = false
    liveness.lastAckMs = clock.nowMs()
  })
}

function listenOn (server: Http2Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}
