/** Types of the connections from a gateway to agents: one per work class, so that batch data never delays a lookup. */
import type { Client } from '@connectrpc/connect'
import type { AgentService, WorkClass } from 'anvilarch-protocol'

/** Purpose of a connection. */
export type Channel = WorkClass | 'control'

/** A typed client to one agent over one connection. */
export type AgentClient = Client<typeof AgentService>

/** Clients to agents by address and channel; connections open on first use. */
export interface AgentClients {
  get: (address: string, channel: Channel) => AgentClient
  /**
   * Replaces an unresponsive connection with a new one; the old one stays open for its remaining streams.
   * Many streams detect the same failure; all but the first get the connection that was opened for the first one.
   *
   * @param unresponsive - client of the unresponsive connection; if omitted, the current connection is replaced
   */
  reconnect: (address: string, channel: Channel, unresponsive?: AgentClient) => AgentClient
  /** Removes the connections to an agent that no longer exists. */
  remove: (address: string) => void
  close: () => Promise<void>
}
