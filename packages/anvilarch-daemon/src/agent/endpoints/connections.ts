/** Connections to one endpoint: a keep-alive pool for each class of work, so that batch never stands before online. */
import { Client, Pool } from 'undici'
import type { WorkClass } from 'anvilarch-protocol'

/** What a connection is used for. */
export type EndpointChannel = WorkClass | 'control'

/** Connections to one endpoint. */
export interface EndpointConnections {
  pool: (channel: EndpointChannel) => Pool
  /** A connection of its own for one exchange; the owner closes it. */
  fresh: () => Client
  /**
   * Lets the pool of a channel finish what it has and opens a new one. After a connection went silent the idle ones
   * beside it may be just as dead, which shows only when a request is lost on them.
   */
  replacePool: (channel: EndpointChannel) => void
  close: () => Promise<void>
}

/** Time for a connection to be established, and for idle ones to be kept. */
export interface ConnectionOptions {
  connectTimeoutMs: number
  idleMs: number
}

/** Defaults of `ConnectionOptions`. */
export const DEFAULT_CONNECTION_OPTIONS: ConnectionOptions = { connectTimeoutMs: 2000, idleMs: 4000 }

/**
 * @param url - base address of the endpoint
 * @param options - times
 * @returns connections, opened on first use
 */
export function createEndpointConnections (url: string, options: ConnectionOptions = DEFAULT_CONNECTION_OPTIONS): EndpointConnections {
  const origin = new URL(url).origin
  const pools = new Map<EndpointChannel, Pool>()
  const retired = new Set<Pool>()
  // One request at a time on a connection: a pipelined one would be sent again by the client after a reset.
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
