/** Waits until a job has ended. */
import { CliError } from '../cliError'
import type { BatchResponse } from '../gateway/types'
import { createProgress } from '../output/progress'
import type { CliSession } from '../session'
import { DEFAULT_POLL_INTERVAL_MS, pollUntil } from '../waiting'
import { hasEnded, jobCounts } from './jobState'

/**
 * Polls a gateway until the job has ended, and shows the progress meanwhile.
 *
 * @param session - of the running command
 * @param id - id of the job
 * @param timeoutMs - time limit; none if undefined
 * @returns the job after its end
 * @throws CliError when the time limit is reached
 */
export async function waitForJob (session: CliSession, id: string, timeoutMs: number | undefined): Promise<BatchResponse> {
  const progress = createProgress(session.environment, 'items')
  try {
    const { isDone, state } = await pollUntil({
      clock: session.environment.clock,
      timeoutMs,
      intervalMs: DEFAULT_POLL_INTERVAL_MS,
      poll: () => session.gateway.batch(id),
      isDone: hasEnded,
      onState: batch => {
        const { done, total } = jobCounts(batch)
        progress.update(done, total, batch.status)
      }
    })
    if (isDone) return state
    const { done, total } = jobCounts(state)
    throw new CliError(`Job "${id}" is ${state.status} with ${done} of ${total} items done after the wait.`, {
      code: 'deadline_exceeded', step: 'jobs.wait', exit: 'timed_out', ran: 'ran', hint: `It continues. Run "anvilarch job show ${id} --wait" to wait again.`, data: { job: state }
    })
  } finally {
    progress.stop()
  }
}
