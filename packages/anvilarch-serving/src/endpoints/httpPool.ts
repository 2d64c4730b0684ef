/** Pools of persistent HTTP/1.1 connections. */
import { type ConnectionEnd, type Connector, watchConnector } from 'anvilarch-utils'
import type { buildConnector as BuildConnector, Pool as PoolType } from 'undici'

/** Persistent connections to one address. */
export interface Pool extends PoolType {
  /** @returns how the connection ended whose end has just completed a response without a length */
  lastConnectionEnd: () => ConnectionEnd
}

/** Options of `createPool`. */
export type PoolOptions = Omit<PoolType.Options, 'connect'>

/**
 * The modules are loaded directly: the index of undici loads the whole client, of which the pool is an eighth. This saves
 * 0.05 s at start-up and 10 MB of memory.
 */

const PoolClass = require('undici/lib/dispatcher/pool') as new (origin: string, options: PoolType.Options) => PoolType

const buildConnector = require('undici/lib/core/connect') as (options: BuildConnector.BuildOptions) => Connector<BuildConnector.Options>

/**
 * @param origin - scheme, IP and port
 * @param options - limits and timeouts
 * @returns a pool without connections
 */
export function createPool (origin: string, options: PoolOptions): Pool {
  const connector = watchConnector(buildConnector({ timeout: options.connectTimeout }))
  const pool = new PoolClass(origin, { ...options, connect: connector.connect })
  // Connection errors are reported to the request that needed the connection.
  pool.on('connectionError', () => {})
  return Object.assign(pool, { lastConnectionEnd: connector.lastEnd })
}
