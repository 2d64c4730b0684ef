/** Steps 4 and 5: a job runs in parallel to online requests, and a job is cancelled. */
import { join } from 'node:path'
import { sleep } from 'anvilarch-utils'
import { waitFor } from '../../fleet/waits'
import { runCommand } from '../commandLine'
import { readExecutions } from '../executions'
import { checkResults, type JobItemOptions, writeItems } from '../jobItems'
import { percentile, startOnlineLoad } from '../onlineLoad'
import { type DemoContext, type DemoStep, expectThat } from '../types'

interface JobView {
  id: string
  status: string
  request_counts: { total: number, completed: number, failed: number }
}

const JOB_ITEMS: Omit<JobItemOptions, 'label'> = { count: 1000, minTokens: 8, maxTokens: 16 }
const CANCELLED_ITEMS: Omit<JobItemOptions, 'label'> = { count: 3000, minTokens: 40, maxTokens: 60 }
const ONLINE_CONCURRENCY = 6
const ONLINE_TOKENS = 30
const CANCEL_TIMEOUT_MS = 15_000
/** Long enough for an item in progress to end, and for a gateway that has not yet received the cancellation to start another item. */
const SETTLE_MS = 2000

/** Runs a job of 1,000 items in parallel to online requests. */
export const jobStep: DemoStep = {
  title: 'A job of 1,000 items runs in parallel to online requests; submitted again, it is the same job',
  run: async context => {
    const { fleet, directory, clock } = context
    const items = { ...JOB_ITEMS, label: `lot-${Math.round(clock.wallMs())}` }
    const inputFile = join(directory, 'items.jsonl')
    const outputFile = join(directory, 'results.jsonl')
    writeItems(inputFile, items)
    const load = startOnlineLoad({ gatewayUrls: fleet.callerUrls(), concurrency: ONLINE_CONCURRENCY, maxTokens: ONLINE_TOKENS, label: 'Beside the job' })
    const startMs = clock.nowMs()
    let job: JobView
    try {
      job = (await runCommand<{ job: JobView }>(context, 'job', 'submit', inputFile)).job
      const ended = (await runCommand<{ job: JobView }>(context, 'job', 'show', job.id, '--wait', '40')).job
      expectThat(ended.status === 'completed', () => `the job is ${JSON.stringify(ended)}`)
    } finally {
      await load.finish().catch(() => {})
    }
    const elapsedMs = clock.nowMs() - startMs
    const online = await load.finish()
    await runCommand(context, 'job', 'results', job.id, '--output', outputFile)
    checkResults(outputFile, items)
    const resubmitted = (await runCommand<{ job: JobView }>(context, 'job', 'submit', inputFile)).job
    expectThat(resubmitted.id === job.id, () => `submitted again, the job is "${resubmitted.id}"; expected "${job.id}"`)
    const firstTokens = online.map(({ firstTokenMs }) => firstTokenMs)
    return `${items.count} results, one for each item, after ${(elapsedMs / 1000).toFixed(1)} s; ${online.length} online responses in the meantime, 95 % with a first token within ${Math.round(percentile(firstTokens, 95))} ms`
  }
}

/** Cancels a job and checks that it stops. */
export const cancelStep: DemoStep = {
  title: 'A job is cancelled and stops',
  run: async context => {
    const { fleet, clock, directory } = context
    const inputFile = join(directory, 'items-cancelled.jsonl')
    const before = (await readExecutions(fleet)).length
    writeItems(inputFile, { ...CANCELLED_ITEMS, label: `cancelled-${Math.round(clock.wallMs())}` })
    const { job } = await runCommand<{ job: JobView }>(context, 'job', 'submit', inputFile)
    await waitFor(async () => (await readExecutions(fleet)).length > before, { clock, timeoutMs: CANCEL_TIMEOUT_MS, what: 'the job to start' })
    await runCommand(context, 'job', 'cancel', job.id)
    await waitFor(async () => (await runCommand<{ job: JobView }>(context, 'job', 'show', job.id)).job.status === 'cancelled', { clock, timeoutMs: CANCEL_TIMEOUT_MS, what: 'the job to be cancelled' })
    const started = await waitUntilStopped(context)
    const ran = started - before
    expectThat(ran < CANCELLED_ITEMS.count, () => `all ${ran} items ran`)
    return `${ran} of ${CANCELLED_ITEMS.count} items had started; none started or runs after the cancellation`
  }
}

/** Waits until no execution is running, then checks that none starts. */
async function waitUntilStopped ({ fleet, clock }: DemoContext): Promise<number> {
  const isIdle = async (): Promise<boolean> => !(await readExecutions(fleet)).some(({ state }) => state === 'running')
  await waitFor(isIdle, { clock, timeoutMs: CANCEL_TIMEOUT_MS, what: 'the items in progress to stop', intervalMs: 200 })
  const started = (await readExecutions(fleet)).length
  await sleep(clock, SETTLE_MS)
  const later = (await readExecutions(fleet)).length
  expectThat(later === started, () => `${later - started} more items started after the job had stopped`)
  return started
}
