/** Interface of the agent for the rest of the daemon. */
import type { EndpointState } from 'anvilarch-protocol'

/** The agent of one process. */
export interface AgentHandle {
  /** IP address and port of the server for gateways. */
  address: string
  /** Stops accepting work; resolves when no attempt runs and there was time to read finished output. */
  drain: (reason: string) => Promise<void>
  state: () => AgentStatus
}

/** State of an agent, for operators and for readiness. */
export interface AgentStatus {
  state: 'serving' | 'draining'
  /** The agent is not draining and at least one endpoint is ready. */
  isReady: boolean
  /** Number of attempts that are queued or running. */
  attempts: number
  /** Number of connected readers. */
  readers: number
  configurationVersion: number
  highestFencingToken: number
  endpoints: EndpointState[]
}
