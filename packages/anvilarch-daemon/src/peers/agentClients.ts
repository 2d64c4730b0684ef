/** Opens, replaces and closes the connections from a gateway to its agents. */
import { createClient } from '@connectrpc/connect'
import { createConnectTransport, type Http2SessionManager } from '@connectrpc/connect-node'
import { AgentService } from 'anvilarch-protocol'
import type { Clock, Logger, Timer } from 'anvilarch-utils'
import { createSessionClient } from './sessionClient'
import { createSessionManager, type SessionLimits } from './sessionManager'
import type { AgentClient, AgentClients, Channel } from './types'

/** Options of `createAgentClients`. */
export interface AgentClientsOptions extends Partial<SessionLimits> {
  clock: Clock
  logger: Logger
  /** Time after which a replaced connection is destroyed, together with its remaining streams. */
  replacedConnectionMs?: number
}

/** Default options. */
export const DEFAULT_OPTIONS = {
  idleMs: 60_000,
  streamWindowBytes: 64 * 1024,
  connectionWindowBytes: 16 * 1024 * 1024,
  replacedConnectionMs: 30_000
} as const

/** A connection and its client. */
interface Connection {
  manager: Http2SessionManager
  client: AgentClient
}

/** A replaced connection that stays open until its streams have ended or its timer fires. */
interface ReplacedConnection {
  connection: Connection
  timer: Timer
}

/**
 * @param options - clock, flow-control windows and timeouts
 * @returns clients without open connections
 */
export function createAgentClients (options: AgentClientsOptions): AgentClients {
  const settings = { ...DEFAULT_OPTIONS, ...options }
  const connections = new Map<string, Map<Channel, Connection>>()
  const replaced = new Set<ReplacedConnection>()

  const open = (address: string, channel: Channel): Connection => {
    const baseUrl = `http://${address}`
    const manager = createSessionManager(baseUrl, settings, error => {
      settings.logger.debug('connection to an agent failed', { address, channel, error: error.message })
    })
    const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager: manager, acceptCompression: [] })
    const plain = createClient(AgentService, transport)
    const client = createSessionClient({ clock: settings.clock, client: plain, address, idleMs: settings.idleMs })
    const connection = { manager, client }
    const channels = connections.get(address) ?? new Map<Channel, Connection>()
    channels.set(channel, connection)
    connections.set(address, channels)
    return connection
  }

  /** The socket of an unresponsive connection may never report an error, so it is destroyed after a timeout. */
  const closeLater = (connection: Connection): void => {
    const entry: ReplacedConnection = {
      connection,
      timer: settings.clock.after(settings.replacedConnectionMs, () => {
        replaced.delete(entry)
        connection.manager.abort()
      })
    }
    replaced.add(entry)
  }

  const get = (address: string, channel: Channel): AgentClient => {
    const known = connections.get(address)?.get(channel)
    return (known ?? open(address, channel)).client
  }

  return {
    get,
    reconnect: (address, channel, unresponsive) => {
      const known = connections.get(address)?.get(channel)
      if (known === undefined) return open(address, channel).client
      if (unresponsive !== undefined && known.client !== unresponsive) return known.client
      closeLater(known)
      return open(address, channel).client
    },
    remove: address => {
      for (const connection of connections.get(address)?.values() ?? []) closeLater(connection)
      connections.delete(address)
    },
    close: async () => {
      for (const channels of connections.values()) {
        for (const connection of channels.values()) connection.manager.abort()
      }
      for (const entry of replaced) {
        entry.timer.cancel()
        entry.connection.manager.abort()
      }
      connections.clear()
      replaced.clear()
    }
  }
}
