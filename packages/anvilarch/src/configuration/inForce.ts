/** Determines in which daemons a configuration version is in force. */
import type { StatusResponse } from '../gateway/types'
import { type Cell, formatTable } from '../output/table'

/** One daemon and its configuration version. */
export interface DaemonVersion {
  name: string
  role: 'gateway' | 'agent'
  state: string
  configurationVersion: number
  /** False for an unreachable daemon, which isn't waited for: it may never return, and gets the version before it accepts work again. */
  isLive: boolean
  isInForce: boolean
}

/** State of an agent that doesn't respond. */
export const UNREACHABLE = 'unreachable'

/**
 * @param status - the daemons, as reported by a gateway
 * @param version - the version to check; by default the one of that gateway
 * @returns each daemon with its version
 */
export function daemonVersions (status: StatusResponse, version = status.configurationVersion): DaemonVersion[] {
  const describe = (name: string, role: DaemonVersion['role'], state: string, configurationVersion: number): DaemonVersion => ({
    name, role, state, configurationVersion, isLive: state !== UNREACHABLE, isInForce: configurationVersion >= version
  })
  return [
    ...status.gateways.map(gateway => describe(gateway.instance, 'gateway', gateway.state, Number(gateway.configurationVersion))),
    ...status.agents.map(agent => describe(agent.name, 'agent', agent.state, Number(agent.configurationVersion)))
  ]
}

/** @returns whether the version is in force in every live daemon */
export function isInForceEverywhere (daemons: DaemonVersion[]): boolean {
  return daemons.length > 0 && daemons.every(daemon => daemon.isInForce || !daemon.isLive)
}

/** @returns the daemons as a table */
export function formatDaemonVersions (daemons: DaemonVersion[]): string {
  const rows = daemons.map((daemon): Cell[] => [daemon.name, daemon.role, daemon.state, daemon.configurationVersion, daemon.isInForce ? 'yes' : 'no'])
  return formatTable(['DAEMON', 'ROLE', 'STATE', 'VERSION', 'IN FORCE'], rows)
}
