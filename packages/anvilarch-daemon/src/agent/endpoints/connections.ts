/** Connections to one endpoint: a keep-alive pool for each work class, so that batch work never delays online work. */
import { Client, Pool } from 'undici'
import type { WorkClass } from 'anvilarch-protocol'

/** Purpose of a connection. */
export type EndpointChannel = WorkClass | 'control'

/** Connections to one endpoint. */
export interface EndpointConnections {
  pool: (channel: EndpointChannel) => Pool
  /** @returns a dedicated connection for one exchange; the caller closes it */
  fresh: () => Client
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
  const origin = new URL(url).origin
  const pools = new Map<EndpointChannel, Pool>()
  const retired = new Set<Pool>()
  // No pipelining: undici would resend a pipelined request after a reset.
  const clientOptions = {
    pipelining: 1,
    keepAliveTimeout: options.idleMs,
    keepAliveMaxTimeout: options.idleMs,
    connect: { timeout: options.connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0
  }

  const retire = (pool: Pool): void => {
    retired.add(pool)
    pool.close().catch(() => {}).finally(() => { retired.delete(pool) })
  }

  return {
    pool: channel => {
      let pool = pools.get(channel)
      if (pool === undefined) {
        pool = new Pool(origin, clientOptions)
        pools.set(channel, pool)
      }
      return pool
    },
    fresh: () => new Client(origin, clientOptions),
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
