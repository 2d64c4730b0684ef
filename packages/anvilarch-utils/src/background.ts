/** Tasks that run in the background. */

/** Log that receives the errors of tasks. */
export interface BackgroundLog {
  error: (message: 'background task failed', fields: { task: string, reason: string }) => void
}

/**
 * Runs a task without waiting for it. Its error is logged, since no caller receives it.
 *
 * @param log - receives the error
 * @param name - name of the task in the log line
 * @param task - function to run
 */
export function runInBackground (log: BackgroundLog, name: string, task: () => Promise<unknown>): void {
  task().catch((error: unknown) => {
    log.error('background task failed', { task: name, reason: error instanceof Error ? error.message : String(error) })
  })
}
