/** Results of the commands that show a job or wait for it. */
import type { CommandResult } from '../defineCommand'
import type { BatchResponse } from '../gateway/types'
import { formatJob, hasEnded, jobCounts } from './jobState'

/**
 * @param batch - a job that has ended
 * @returns the result; its exit code is 0 only for `completed`
 */
export function describeEndedJob (batch: BatchResponse): CommandResult {
  return { json: { job: batch }, text: describeWithHint(batch), exit: batch.status === 'completed' ? 'ok' : 'failed' }
}

/** @returns the job as lines of text, with the command that downloads its results once it has ended */
export function describeWithHint (batch: BatchResponse): string {
  if (!hasEnded(batch) || typeof batch.output_file_id !== 'string') return formatJob(batch)
  const errors = jobCounts(batch).failed > 0 ? ' --errors errors.jsonl' : ''
  return `${formatJob(batch)}\nresults   anvilarch job results ${batch.id} --output output.jsonl${errors}`
}
