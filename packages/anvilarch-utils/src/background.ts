/** Work whose end nobody waits for. */
import type { Logger } from './logger'

/**
 * Runs a task without waiting for it. Its error is logged: nobody else would hear of it.
 *
 * @param log - where an error goes
 * @param name - of the task, for the log line
 * @param task - what is run
 */
export function runInBackground (log: Logger, name: string, task: () => Promise<unknown>): void {
  task().catch((error: unknown) => {
    log.error('background task failed', { task: name, reason: error instanceof Error ? error.message : String(error) })
  })
}
