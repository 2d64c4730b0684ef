/** Cancels a job on request of its caller. */
import { AnvilarchError } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { endCommit } from './endJob'
import type { JobReader } from './readJob'
import type { JobRow } from './rows'
import { commitWithRetry } from '../platform/commitWithRetry'

const STEP = 'jobs.cancel'
/** The job row changes only with its state, so that after a conflict the next read finds a job that has ended. */
const MAX_ROUNDS = 3

/**
 * @param context - shared parts of the daemon
 * @param reader - reader of jobs
 * @param caller - name of the caller
 * @param jobId - id of the job
 * @returns the cancelled job; cancelling it again has no effect
 * @throws AnvilarchError with code `conflict` when the job has completed or expired
 */
export async function cancelJob (context: DaemonContext, reader: JobReader, caller: string, jobId: string): Promise<JobRow> {
  const { clock, platform, random } = context
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const { job, version } = await reader.read(caller, jobId)
    if (job.state === 'cancelled') return job
    if (job.state !== 'in_progress') {
      throw new AnvilarchError(`Batch "${jobId}" is ${job.state} and can't be cancelled.`, { code: 'conflict', step: STEP, ran: 'not_run' })
    }
    const end = { state: 'cancelled', endedAtMs: clock.wallMs() } as const
    const result = await commitWithRetry({ table: platform.table, clock, random }, endCommit(job, version, end), STEP)
    if (result.outcome === 'committed') {
      context.timeline.record('jobs.cancelled', { jobId })
      return { ...job, ...end }
    }
  }
  throw new AnvilarchError(`Batch "${jobId}" kept changing.`, { code: 'overloaded', step: STEP, ran: 'not_run', retryAfterMs: 1_000 })
}
