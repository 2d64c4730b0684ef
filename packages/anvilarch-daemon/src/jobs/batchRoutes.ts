/** Routes for batch jobs: create, list, show, cancel. */
import { ROW_KEYS } from 'anvilarch-protocol'
import { parseJsonObject, readBody } from '../callers/http/readBody'
import { sendJson } from '../callers/http/sendJson'
import type { CallerContext, Route } from '../callers/types'
import type { DaemonContext } from '../context'
import { acceptJob, MAX_ACCEPT_MS } from './acceptJob'
import { toBatchObject, toListObject } from './apiObjects'
import { parseBatchRequest, parseKey } from './batchRequest'
import { cancelJob } from './cancelJob'
import type { RandomSource } from './ids'
import { parsePage, readIndexPage } from './paging'
import { type JobReader, shownState } from './readJob'
import { JOB_KEYS, type JobRow, parseRow } from './rows'

/** Longest body of a request that creates a job; the items are in the file. */
const MAX_BODY_BYTES = 64 * 1024
/** Polls after which each holder has detected a cancelled job. */
const STOP_POLLS = 2

/**
 * @param context - shared parts of the daemon
 * @param reader - reader of jobs
 * @param randomValue - source of random numbers for ids
 * @returns the routes
 */
export function batchRoutes (context: DaemonContext, reader: JobReader, randomValue: RandomSource): Route[] {
  const describeJob = async (job: JobRow): Promise<Record<string, unknown>> => {
    const stopMs = STOP_POLLS * context.settings.gateway.pollIntervalMs
    return toBatchObject(job, await reader.counts(job), shownState(job, context.clock.wallMs(), stopMs))
  }

  const create = async (call: CallerContext): Promise<void> => {
    const { request, response, caller, signal, drain } = call
    const key = parseKey(request.headers['idempotency-key'])
    const batch = parseBatchRequest(parseJsonObject(await readBody(call, MAX_BODY_BYTES, drain.unreadRejected)))
    drain.check(context.clock.nowMs() + MAX_ACCEPT_MS)
    const job = await acceptJob(context, { caller, key, batch, signal }, randomValue)
    // The job is already accepted, so a failure to count its items must not turn this response into an error.
    const counts = await reader.counts(job).catch(() => ({ completed: 0, failed: 0 }))
    sendJson(response, 200, toBatchObject(job, counts, job.state))
  }

  const list = async ({ response, caller, query }: CallerContext): Promise<void> => {
    const page = await readIndexPage(context.platform.table, JOB_KEYS.callerJobs(caller), parsePage(query), ROW_KEYS.job)
    const batches = []
    for (const row of page.rows) batches.push(await describeJob(parseRow<JobRow>(row.value)))
    sendJson(response, 200, toListObject(batches, page.hasMore))
  }

  const show = async ({ response, caller, params, signal }: CallerContext): Promise<void> => {
    const { job } = await reader.read(caller, params.id, signal)
    sendJson(response, 200, await describeJob(job))
  }

  const cancel = async ({ response, caller, params }: CallerContext): Promise<void> => {
    const job = await cancelJob(context, reader, caller, params.id)
    const counts = await reader.counts(job).catch(() => ({ completed: 0, failed: 0 }))
    sendJson(response, 200, toBatchObject(job, counts, 'cancelling'))
  }

  return [
    { method: 'POST', path: '/v1/batches', handle: create },
    { method: 'GET', path: '/v1/batches', handle: list },
    { method: 'GET', path: '/v1/batches/:id', handle: show },
    { method: 'POST', path: '/v1/batches/:id/cancel', handle: cancel }
  ]
}
