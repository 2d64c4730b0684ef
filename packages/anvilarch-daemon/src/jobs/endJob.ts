/** Creates the commit that ends a job: it changes the state of the job and removes it from the active jobs. */
import { randomUUID } from 'node:crypto'
import { type Commit, type CommitResult, ROW_KEYS } from 'anvilarch-protocol'
import { JOB_KEYS, type ItemCounts, type JobRow, type JobState } from './rows'

/** How a job ends. */
export interface JobEnd {
  state: Exclude<JobState, 'in_progress'>
  /** Wall-clock time. */
  endedAtMs: number
  /** Number of results, if all items are finished. */
  counts?: ItemCounts
}

/**
 * Part commits are conditioned on the version of the job row. Since this commit changes the row, every later part commit of
 * a holder is rejected, however late it arrives.
 *
 * @param job - job in progress
 * @param version - version of its row
 * @param end - final state
 * @returns the commit
 */
export function endCommit (job: JobRow, version: number, end: JobEnd): Commit {
  const row: JobRow = { ...job, ...end }
  return {
    commitId: randomUUID(),
    conditions: [{ key: ROW_KEYS.job(job.id), version }],
    writes: [
      { key: ROW_KEYS.job(job.id), value: JSON.stringify(row) },
      { key: ROW_KEYS.activeJob(job.id), value: null },
      { key: JOB_KEYS.callerActiveJob(job.caller, job.id), value: null }
    ]
  }
}

/**
 * @param result - result of a commit that ends a job
 * @returns whether this commit ended the job
 */
export function didEnd (result: CommitResult): boolean {
  return result.outcome === 'committed'
}
