/** Work whose end nobody waits for. */

/** Where the error of a task goes. */
export interface BackgroundLog {
  error: (message: 'background task failed', fields: { task: string, reason: string }) => void
}

/**
 * Runs a task without waiting for it. Its error is logged: nobody else would hear of it.
 *
 * @param log - where an error goes
 * @param name - of the task, for the log line
 * @param task - what is run
 */
export function runInBackground (log: BackgroundLog, name: string, task: () => Promise<unknown>): void {
  task().catch((error: unknown) => {
    log.error('background task failed', { task: name, reason: error instanceof Error ? error.message : String(error) })
  })
}
