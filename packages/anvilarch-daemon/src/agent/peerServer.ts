/** The HTTP/2 cleartext server towards gateways. */
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { type Clock, sleep } from 'anvilarch-utils'
import type { AgentOptions } from './options'

/** A listening server. */
export interface PeerServer {
  /** IP number and port. */
  address: string
  /**
   * Asks each connection for a sign of life and closes those that gave none since the last but one call. A connection
   * that something in between has lost track of would otherwise keep its streams open for good, which would show as a
   * drain that never ends.
   */
  ping: (nowMs: number) => void
  /** Lets streams in progress end, then closes all connections. */
  close: () => Promise<void>
}

/** Times of signs of life. */
export type PingOptions = Pick<AgentOptions, 'pingIntervalMs' | 'connectionTimeoutMs'>

/** How long sessions may take to end by themselves. */
const CLOSE_GRACE_MS = 1000

/** Streams of one connection; a gateway opens one for each attempt in progress. */
const MAX_STREAMS = 10_000

/**
 * @param listen - IP number and port; port 0 takes any
 * @param routes - the services
 * @param clock - for the bound on closing and the age of signs of life
 * @param options - when to ask for a sign of life, and when to close a connection without one
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
  /** A ping is on its way. */
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
