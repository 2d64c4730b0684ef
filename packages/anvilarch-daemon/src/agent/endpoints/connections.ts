/** Connections to one endpoint: a keep-alive pool for each work class, so that batch work never delays online work. */
import { buildConnector, Client, type Dispatcher, Pool } from 'undici'
import type { WorkClass } from 'anvilarch-protocol'
import { type ConnectionEnd, type WatchedConnector, watchConnector } from 'anvilarch-utils'

/** Purpose of a connection. */
export type EndpointChannel = WorkClass | 'control'

/** A dispatcher that reports how its connections ended. */
export type WatchedDispatcher = Dispatcher & {
  /** @returns how the connection ended whose end has just completed a response without a length */
  lastConnectionEnd: () => ConnectionEnd
}

/** Connections to one endpoint. */
export interface EndpointConnections {
  pool: (channel: EndpointChannel) => WatchedDispatcher
  /** @returns a dedicated connection for one exchange; the caller closes it */
  fresh: () => WatchedDispatcher
  /**
   * Replaces the pool of a channel; the old one finishes its requests and closes. After a timeout on one connection, the
   * idle connections of the pool may be dead too, which is noticed only when a request on them is lost.
   */
  replacePool: (channel: EndpointChannel) => void
  close: () => Promise<void>
}

/** Timeouts for connecting and for idle connections. */
export interface ConnectionOptions {
  connectTimeoutMs: number
  idleMs: number
}

/** Defaults of `ConnectionOptions`. */
export const DEFAULT_CONNECTION_OPTIONS: ConnectionOptions = { connectTimeoutMs: 2000, idleMs: 4000 }

/**
 * @param url - base address of the endpoint
 * @param options - timeouts
 * @returns the connections, opened on first use
 */
export function createEndpointConnections (url: string, options: ConnectionOptions = DEFAULT_CONNECTION_OPTIONS): EndpointConnections {
  const { origin, protocol } = new URL(url)
  const pools = new Map<EndpointChannel, WatchedDispatcher>()
  const retired = new Set<WatchedDispatcher>()
  // No pipelining: undici would resend a pipelined request after a reset.
  const clientOptions = {
    pipelining: 1,
    keepAliveTimeout: options.idleMs,
    keepAliveMaxTimeout: options.idleMs,
    headersTimeout: 0,
    bodyTimeout: 0
  }

  const connectEndpoint = buildConnector({ timeout: options.connectTimeoutMs }) as WatchedConnector<buildConnector.Options>['connect']

  const watched = (create: (connect: buildConnector.connector) => Dispatcher): WatchedDispatcher => {
    const { connect, lastEnd } = watchConnector(connectEndpoint)
    // Node.js does not tell whether the other side has closed TLS in order; without that, anyone on the path can truncate a response.
    return Object.assign(create(connect as buildConnector.connector), { lastConnectionEnd: protocol === 'https:' ? () => 'broken' as const : lastEnd })
  }

  const retire = (pool: WatchedDispatcher): void => {
    retired.add(pool)
    pool.close().catch(() => {}).finally(() => { retired.delete(pool) })
  }

  return {
    pool: channel => {
      let pool = pools.get(channel)
      if (pool === undefined) {
        pool = watched(connect => new Pool(origin, { ...clientOptions, connect }))
        pools.set(channel, pool)
      }
      return pool
    },
    fresh: () => watched(connect => new Client(origin, { ...clientOptions, connect })),
    replacePool: channel => {
      const pool = pools.get(channel)
      if (pool === undefined) return
      pools.delete(channel)
      retire(pool)
    },
    close: async () => {
      const all = [...pools.values(), ...retired]
      pools.clear()
      await Promise.all(all.map(async pool => { await pool.destroy() }))
    }
  }
}
