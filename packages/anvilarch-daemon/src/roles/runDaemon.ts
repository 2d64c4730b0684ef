/** Runs one daemon from its settings until it is stopped. */
import { afterViolation, createLifecycleManager } from 'anvilarch-utils'
import type { DaemonSettings } from 'anvilarch-configuration'
import { createContext, type OwnedContext } from '../context'
import { type Health, type Readiness, startOperationsServer } from '../operations/startOperationsServer'
import { loadRole } from './roles'
import type { StartedRole } from './types'

/** A daemon, which may be stopped at any time, also while it starts. */
export interface Daemon {
  context: OwnedContext
  /** Starts all components of the role. Resolves when they run, or, if the daemon is stopped meanwhile, when it has stopped. */
  start: () => Promise<void>
  /** Stops accepting work, finishes work in progress and releases all resources. A second call waits for the first. */
  stop: () => Promise<void>
  /** @returns address of the operations server; undefined before it listens */
  operationsAddress: () => string | undefined
}

/** A running daemon. */
export interface RunningDaemon extends Pick<Daemon, 'context' | 'stop'> {
  operationsAddress: string
}

const STARTING: Readiness = { ready: false, reason: 'starting' }

/**
 * @param settings - validated settings
 * @returns a daemon that has not started
 */
export function createDaemon (settings: DaemonSettings): Daemon {
  const context = createContext(settings)
  const { clock, logger, timeline } = context
  const lifecycle = createLifecycleManager({
    clock, onStopError: (name, error) => { logger.error('a part did not stop', { name, error: String(error) }) }
  })
  let role: StartedRole | undefined
  let operationsAddress: string | undefined
  let stopping: Promise<void> | undefined

  const health = (): Health => role === undefined ? 'starting' : 'running'

  const readiness = (): Readiness => {
    if (stopping !== undefined) return { ready: false, reason: 'draining' }
    if (context.configuration.version() === 0) return { ready: false, reason: 'no configuration' }
    return role?.readiness() ?? STARTING
  }

  const stopAll = async (): Promise<void> => {
    timeline.record('daemon.draining')
    logger.info('draining')
    // All components start to drain at the same time; the stop of each then waits for its drain within its timeout.
    role?.drain().catch((error: unknown) => { logger.error('the drain failed', { error: String(error) }) })
    await lifecycle.stop()
    await context.close()
    logger.info('stopped')
  }

  const stop = async (): Promise<void> => {
    stopping ??= stopAll()
    await stopping
  }

  const startAll = async (): Promise<void> => {
    const operations = await startOperationsServer(context, { health, readiness }, lifecycle)
    operationsAddress = operations.address
    role = await loadRole(settings.role)(context, lifecycle, operations.address)
    timeline.record('daemon.started', { detail: { role: settings.role, incarnation: context.incarnation, pid: process.pid } })
    logger.info('started', { role: settings.role, operations: operations.address, pid: process.pid })
  }

  return {
    context,
    start: async () => {
      try {
        await startAll()
      } catch (error) {
        // A start that is interrupted by a stop has not failed.
        const isInterrupted = stopping !== undefined
        await stop()
        if (!isInterrupted) throw error
      }
    },
    stop,
    operationsAddress: () => operationsAddress
  }
}

/**
 * @param settings - validated settings
 * @returns the daemon, once all components of its role have started
 */
export async function runDaemon (settings: DaemonSettings): Promise<RunningDaemon> {
  const { context, start, stop, operationsAddress } = createDaemon(settings)
  await start()
  return { context, stop, operationsAddress: operationsAddress() ?? '' }
}

/**
 * Exits on the first invariant violation. A process that has violated an invariant may report false results to callers.
 * Tests exit at once, so that the violation is found; in production a metric triggers an alert and the operator decides.
 *
 * @param exit - ends the process
 */
export function exitOnViolation (exit: () => void): void {
  afterViolation(() => { exit() })
}
