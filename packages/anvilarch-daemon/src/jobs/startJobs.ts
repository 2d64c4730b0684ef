/** Starts the batch jobs of a gateway. */
import { randomInt } from 'node:crypto'
import type { LifecycleManager } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { batchRoutes } from './batchRoutes'
import { fileRoutes } from './fileRoutes'
import type { RandomSource } from './ids'
import { createJobReader } from './readJob'
import { startWorker } from './startWorker'
import { startSweeper } from './sweep/startSweeper'
import type { JobsDependencies, JobsHandle } from './types'

/** Options of `startJobs`. */
export interface JobsOptions {
  /** Random numbers for ids, which must be unique across all gateways. */
  randomValue: RandomSource
}

const RANDOM_RESOLUTION = 2 ** 40

/** Uses the random source of the system: ids from a seeded source could equal those of another gateway. */
export const DEFAULT_OPTIONS: JobsOptions = { randomValue: () => randomInt(RANDOM_RESOLUTION) / RANDOM_RESOLUTION }

/**
 * @param context - shared parts of the daemon
 * @param dependencies - runner, directory, heartbeat and observer of the gateway
 * @param lifecycle - drains and stops the jobs
 * @param options - source of random numbers for ids
 * @returns the routes of files and batches, and the handle on the running jobs
 */
export async function startJobs (
  context: DaemonContext, dependencies: JobsDependencies, lifecycle: LifecycleManager, options: JobsOptions = DEFAULT_OPTIONS
): Promise<JobsHandle> {
  const reader = createJobReader(context)
  await startSweeper(context, lifecycle, dependencies)
  const worker = await startWorker(context, dependencies, lifecycle)
  return {
    routes: [...fileRoutes(context, reader, options.randomValue), ...batchRoutes(context, reader, options.randomValue)],
    drain: worker.drain,
    activeCount: worker.activeCount,
    heldParts: worker.heldParts
  }
}
