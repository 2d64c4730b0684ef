/** `anvilarch job submit FILE` */
import { option, optional, positional, string } from 'cmd-ts'
import { type CommandResult, defineCommand } from '../defineCommand'
import type { BatchResponse } from '../gateway/types'
import { describeEndedJob } from '../jobs/describeEndedJob'
import { formatJob, hasEnded } from '../jobs/jobState'
import { DEFAULT_SUBMIT_OPTIONS, submitJob, type SubmittedJob } from '../jobs/submitJob'
import { waitForJob } from '../jobs/waitForJob'
import type { CliSession } from '../session'
import { waitArgument } from '../waitArgument'

const DEFAULT_ENDPOINT = '/v1/chat/completions'

/** Uploads a file and creates a job from it. */
export const jobSubmit = defineCommand({
  name: 'submit',
  description: 'Upload a file of JSON Lines and make a job of it; the same file again gives the same job, unless that was cancelled or has expired',
  args: {
    file: positional({ type: string, displayName: 'FILE', description: 'one request a line: {"custom_id", "method", "url", "body"}' }),
    key: option({ long: 'key', type: optional(string), description: 'idempotency key: the same key gives the same job for good [taken from file, endpoint and window]' }),
    endpoint: option({ long: 'endpoint', type: string, defaultValue: () => DEFAULT_ENDPOINT, defaultValueIsSerializable: true, description: 'where the requests go' }),
    wait: waitArgument(undefined, 'the job has ended')
  },
  examples: [
    { description: 'Submit and watch until the end', line: 'anvilarch job submit renewals.jsonl --wait' },
    { description: 'Run a file again whose job has completed', line: 'anvilarch job submit renewals.jsonl --key renewals-second-run' }
  ],
  run: async ({ file, key, endpoint, wait }, session) => {
    const submitted = await submitJob(session.gateway, session.environment.clock, { path: file, key, endpoint }, {
      ...DEFAULT_SUBMIT_OPTIONS,
      onRetry: (error, waitMs) => session.note(`${error.message} Sending again in ${(waitMs / 1000).toFixed(1)} s.`)
    })
    noteEndedJob(session, submitted.batch, key)
    if (wait === undefined) return describeSubmitted(submitted, key)
    session.note(`job ${submitted.batch.id}`)
    return describeEndedJob(await waitForJob(session, submitted.batch.id, wait.timeoutMs))
  }
})

function describeSubmitted ({ batch, tries }: SubmittedJob, key: string | undefined): CommandResult {
  const keyLine = key === undefined ? '' : `\nkey       ${key}`
  return { json: { job: batch, key, tries }, text: formatJob(batch) + keyLine }
}

/** Tells the operator that an existing job was found that has already ended: nothing runs, although the command succeeds. */
function noteEndedJob (session: CliSession, batch: BatchResponse, key: string | undefined): void {
  if (!hasEnded(batch)) return
  const found = key === undefined ? 'This file was submitted before as' : `Key "${key}" belongs to`
  session.note(`${found} job ${batch.id}, which is ${batch.status}. Give ${key === undefined ? 'a' : 'another'} --key to run it as a new job.`)
}
