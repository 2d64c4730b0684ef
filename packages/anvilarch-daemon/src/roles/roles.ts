/** Roles of the daemon. Only the modules of the selected role are loaded, so that an agent has no cost of gateway modules. */
import type { DaemonSettings } from 'anvilarch-configuration'
import type { StartRole } from './types'

/*
 * Uses `require` on demand: a top-level import would load every role, and a dynamic `import()` of a CommonJS module would
 * also load the ES module loader.
 */
const ROLES: Record<DaemonSettings['role'], () => StartRole> = {
  gateway: () => (require('./startGatewayRole') as typeof import('./startGatewayRole')).startGatewayRole,
  agent: () => (require('./startAgentRole') as typeof import('./startAgentRole')).startAgentRole
}

/**
 * @param role - role of the settings
 * @returns the start function of the role
 */
export function loadRole (role: DaemonSettings['role']): StartRole {
  return ROLES[role]()
}
