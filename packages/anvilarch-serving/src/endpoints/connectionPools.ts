/** Persistent connections to endpoints, in one pool for each start of an endpoint. */
import type { Endpoint } from '../model/types'
import { createPool, type Pool } from './httpPool'

/** Pools by endpoint. */
export interface ConnectionPools {
  poolOf: (endpoint: Endpoint) => Pool
  /** @returns number of open connections to the endpoint, idle or in use */
  openConnections: (endpoint: Endpoint) => number
  /** Waits for requests in progress to end, then closes the connections. */
  drain: (endpoint: Endpoint) => void
  closeAll: () => Promise<void>
}

interface CountedPool {
  pool: Pool
  /** Open connections, idle or in use. */
  openCount: number
}

/** Options of `createConnectionPools`. */
export interface ConnectionPoolOptions {
  /** @returns the most connections that this process may open to one endpoint of a service */
  limitOf: (service: string) => number
}

/** Endpoints of a region are connected within some milliseconds, busy ones within some hundred. A longer attempt has its packets dropped. */
const CONNECT_TIMEOUT_MS = 400

/** Idle time after which a connection is closed if the endpoint announces none. */
const IDLE_TIMEOUT_MS = 4000

/** Idle connections are closed this long before the endpoint would close them. */
const IDLE_MARGIN_MS = 1000

/**
 * @param options - limits
 * @returns pools, each opened on first use
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
      // The timers of the request handle an endpoint that sends nothing.
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
      const existing = pools.get(id)
      if (existing !== undefined) return existing.pool
      const opened = openPool(endpoint)
      pools.set(id, opened)
      return opened.pool
    },
    openConnections: endpoint => pools.get(idOf(endpoint))?.openCount ?? 0,
    drain: endpoint => {
      const existing = pools.get(idOf(endpoint))
      if (existing === undefined) return
      pools.delete(idOf(endpoint))
      existing.pool.close().catch(() => {
        // Fails only if the pool is already closed.
      })
    },
    closeAll: async () => {
      const all = [...pools.values()]
      pools.clear()
      await Promise.all(all.map(({ pool }) => pool.destroy()))
    }
  }
}
