/** Waits for all jobs to finish, reads their results, and fetches the ledger of executions. */
import type { CollectedLedger, Execution, Fleet } from 'anvilarch-standins'
import { sleep } from 'anvilarch-utils'
import { readResultFile, getBatch, type Batch } from '../load/jobCalls'
import { readItemCounts } from '../load/runJob'
import type { LoadContext } from '../load/types'
import type { ResultLine, SubmissionRecord } from '../types'

const END_STATES: ReadonlySet<string> = new Set(['completed', 'failed', 'cancelled', 'expired'])
const POLL_MS = 500
const MAX_READ_ATTEMPTS = 5
const LEDGER_SETTLE_MS = 2000

/**
 * @param context - of the load, which has ended
 * @param timeoutMs - limit of the wait for all jobs together
 * @param log - receives progress messages
 */
export async function collectJobs (context: LoadContext, timeoutMs: number, log: (line: string) => void): Promise<void> {
  const untilMs = context.clock.nowMs() + timeoutMs
  const accepted = context.evidence.submissions.filter(submission => submission.answers.some(response => response.jobId !== undefined))
  log(`${accepted.length} jobs were accepted; waiting for them to finish`)
  for (const submission of accepted) {
    for (const jobId of new Set(submission.answers.flatMap(response => response.jobId ?? []))) {
      await collectJob(context, submission, jobId, untilMs)
    }
  }
}

async function collectJob (context: LoadContext, submission: SubmissionRecord, jobId: string, untilMs: number): Promise<void> {
  const { clock, gateways } = context
  let batch: Batch | undefined
  for (;;) {
    batch = await getBatch(context, gateways.pick(), jobId)
    if (batch !== undefined && END_STATES.has(batch.status)) break
    if (clock.nowMs() >= untilMs) break
    await sleep(clock, POLL_MS)
  }
  submission.endState = batch === undefined ? 'not shown' : `${batch.status} ${JSON.stringify(batch.request_counts)}`
  if (batch === undefined) return
  // Covers a cancellation that took effect although its response was lost.
  if (batch.status === 'cancelled') submission.cancelledAtMs ??= clock.wallMs()
  if (submission.cancelledAtMs !== undefined) await readItemCounts(context, submission, jobId)
  const files = [{ id: batch.output_file_id, kind: 'output' }, { id: batch.error_file_id, kind: 'error' }] as const
  for (const { id, kind } of files) {
    if (id !== null) await readFile(context, submission, id, kind)
  }
}

async function readFile (context: LoadContext, submission: SubmissionRecord, fileId: string, kind: ResultLine['kind']): Promise<void> {
  for (let attempts = 0; attempts < MAX_READ_ATTEMPTS; attempts++) {
    const lines = await readResultFile(context, context.gateways.pick(), fileId, kind)
    if (typeof lines !== 'string') {
      submission.lines.push(...lines)
      submission.readError = ''
      return
    }
    submission.readError = lines
    await sleep(context.clock, POLL_MS)
  }
}

/**
 * @param context - connections and clock
 * @param fleet - runs the ledger
 * @returns all executions, read after a delay in which pending execution reports arrive
 */
export async function readExecutions (context: LoadContext, fleet: Fleet): Promise<Execution[]> {
  await sleep(context.clock, LEDGER_SETTLE_MS)
  const response = await context.dispatcher.request({ origin: fleet.urls.ledger, path: '/ledger', method: 'GET' })
  return (await response.body.json() as CollectedLedger).executions
}
