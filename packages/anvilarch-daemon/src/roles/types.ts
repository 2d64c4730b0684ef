/** Interface of the roles of the daemon. */
import type { LifecycleManager } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import type { Readiness } from '../operations/startOperationsServer'

/** A started role. */
export interface StartedRole {
  readiness: () => Readiness
  /** Stops accepting work; resolves when work in progress has ended. Each component applies its own timeout when it stops. */
  drain: () => Promise<void>
}

/**
 * Starts the components of a role in order; they stop in reverse order.
 *
 * @param context - shared components of the daemon
 * @param lifecycle - owns the components
 * @param operationsAddress - address of this daemon's operations server
 */
export type StartRole = (context: DaemonContext, lifecycle: LifecycleManager, operationsAddress: string) => Promise<StartedRole>
