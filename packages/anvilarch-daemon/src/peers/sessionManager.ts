/** Manages the HTTP/2 session of one connection to an agent. */
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2'
import { Http2SessionManager } from '@connectrpc/connect-node'

/** Limits of one connection. */
export interface SessionLimits {
  /** Time after which an idle connection is closed. */
  idleMs: number
  /** Flow-control window of one stream. */
  streamWindowBytes: number
  /** Flow-control window of the connection, shared by all its streams. */
  connectionWindowBytes: number
}

/** Receives errors of connections. Calls in progress report their own errors. */
export type SessionErrorListener = (error: Error) => void

/**
 * Session manager whose connection window is many times larger than that of a stream.
 *
 * With equal windows, the default of the library, one caller that does not read exhausts the window of the whole connection
 * and blocks all other streams on it, although their callers read.
 */
class WideSessionManager extends Http2SessionManager {
  private readonly known = new WeakSet<ClientHttp2Session>()

  constructor (url: string, private readonly limits: SessionLimits, private readonly onError: SessionErrorListener) {
    super(url, { idleConnectionTimeoutMs: limits.idleMs }, { settings: { initialWindowSize: limits.streamWindowBytes } })
  }

  override async request (...parameters: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
    const stream = await super.request(...parameters)
    const session = stream.session as ClientHttp2Session | undefined
    if (session !== undefined && !this.known.has(session)) {
      this.known.add(session)
      // The library removes its listener when it abandons a session, which may fail afterwards.
      session.on('error', this.onError)
      session.setLocalWindowSize(this.limits.connectionWindowBytes)
    }
    return stream
  }
}

/**
 * @param url - base URL of the agent
 * @param limits - flow-control windows and idle time
 * @param onError - receives errors of the connection
 * @returns session manager that connects on first use
 */
export function createSessionManager (url: string, limits: SessionLimits, onError: SessionErrorListener): Http2SessionManager {
  return new WideSessionManager(url, limits, onError)
}
