/** Kept connections to endpoints, one pool for each start of an endpoint. */
import type { Endpoint } from '../model/types'
import { createPool, type Pool } from './httpPool'

/** Pools by endpoint. */
export interface ConnectionPools {
  poolOf: (endpoint: Endpoint) => Pool
  /** @returns connections to the endpoint that are open, in use or not */
  openConnections: (endpoint: Endpoint) => number
  /** Lets requests in progress end, then closes the connections. */
  drain: (endpoint: Endpoint) => void
  closeAll: () => Promise<void>
}

interface CountedPool {
  pool: Pool
  /** Connections that are open, in use or not. */
  openCount: number
}

/** Options of `createConnectionPools`. */
export interface ConnectionPoolOptions {
  /** Connections that this process may hold to one endpoint of a service. */
  limitOf: (service: string) => number
}

/** A connection that takes longer is one whose packets are dropped; the aim of the fastest lookups is some 120 ms. */
const CONNECT_TIMEOUT_MS = 400

/** How long a connection is kept idle when the endpoint does not say. */
const IDLE_TIMEOUT_MS = 4000

/** Kept connections are given up this long before the endpoint would close them. */
const IDLE_MARGIN_MS = 1000

/**
 * @param options - limits
 * @returns pools, opened on first use
 */
export function createConnectionPools (options: ConnectionPoolOptions): ConnectionPools {
  const pools = new Map<string, CountedPool>()
  const idOf = (endpoint: Endpoint): string => `${endpoint.startId} ${endpoint.address}`

  const openPool = (endpoint: Endpoint): CountedPool => {
    const pool = createPool(`http://${endpoint.address}`, {
      connections: options.limitOf(endpoint.service),
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      // The request's own timers end a silent answer.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    const counted: CountedPool = { pool, openCount: 0 }
    pool.on('connect', () => { counted.openCount++ })
    pool.on('disconnect', () => { counted.openCount-- })
    return counted
  }

  return {
    poolOf: endpoint => {
      const id = idOf(endpoint)
      const known = pools.get(id)
      if (known !== undefined) return known.pool
      const opened = openPool(endpoint)
      pools.set(id, opened)
      return opened.pool
    },
    openConnections: endpoint => pools.get(idOf(endpoint))?.openCount ?? 0,
    drain: endpoint => {
      const known = pools.get(idOf(endpoint))
      if (known === undefined) return
      pools.delete(idOf(endpoint))
      known.pool.close().catch(() => {
        // Closing fails only when the pool is closed already.
      })
    },
    closeAll: async () => {
      const all = [...pools.values()]
      pools.clear()
      await Promise.all(all.map(({ pool }) => pool.destroy()))
    }
  }
}
