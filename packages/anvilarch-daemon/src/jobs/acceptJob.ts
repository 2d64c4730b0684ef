/** Accepts a job. Its rows and the row of its key are written in one commit, so that a resend always finds the first job. */
import { randomUUID } from 'node:crypto'
import { ROW_KEYS, type Row } from 'anvilarch-protocol'
import { AnvilarchError } from 'anvilarch-utils'
import { requireConfiguration } from '../callers/requireConfiguration'
import type { DaemonContext } from '../context'
import { type BatchRequest, checkFileFits, contentHash } from './batchRequest'
import { type RandomSource, newJobId } from './ids'
import { type ActiveRow, type FileRow, JOB_KEYS, type JobKeyRow, type JobRow, parseRow } from './rows'
import { commitWithRetry } from '../platform/commitWithRetry'

/** A request to accept a job. */
export interface AcceptRequest {
  caller: string
  /** `Idempotency-Key` header, if the caller sent one. */
  key: string | undefined
  batch: BatchRequest
  signal?: AbortSignal
}

/** Longest time that the commit of a job or file is expected to take while the platform is slow. */
export const MAX_ACCEPT_MS = 10_000

const STEP = 'jobs.accept'
/** Rounds of reading and committing. Another round is needed when a concurrent request has changed a row in between. */
const MAX_ROUNDS = 6
const CONFLICT_RETRY_MS = 1_000
const RATE_RETRY_MS = 30_000
/** Prefix of default keys, which are stored in the same rows as the keys of callers and must not equal one of them. */
const DEFAULT_KEY_PREFIX = '~content-'

/** Rows read before the commit. */
interface AcceptReading {
  file: { row: Row, value: FileRow }
  key: { row: Row, value: JobKeyRow, job: JobRow | undefined } | undefined
  jobs: JobRow[]
}

/**
 * @param context - shared parts of the daemon
 * @param request - request to accept a job
 * @param randomValue - source of random numbers for the id of the job
 * @returns the new job, or the job that was accepted earlier for the same request
 * @throws AnvilarchError when the job is not accepted; with `ran` `unknown` when the outcome of the commit is unknown
 */
export async function acceptJob (context: DaemonContext, request: AcceptRequest, randomValue: RandomSource): Promise<JobRow> {
  const jobId = newJobId(context.clock.wallMs(), randomValue)
  for (let round = 0; round < MAX_ROUNDS; round++) {
    const file = await readFile(context, request)
    const hash = contentHash(request.batch, file.value)
    const key = request.key ?? DEFAULT_KEY_PREFIX + hash
    const reading: AcceptReading = { file, key: await readKey(context, request.caller, key), jobs: await readJobs(context, file.value) }
    const existing = findExistingJob(reading, request, hash)
    if (existing !== undefined) return existing
    await checkActiveJobs(context, request.caller)
    const job = newJob(context, request, { jobId, key, hash, file: file.value })
    if (await commitJob(context, request, job, reading)) {
      context.timeline.record('jobs.accepted', { jobId, detail: { items: file.value.chunkItems.reduce((sum, items) => sum + items, 0) } })
      return job
    }
  }
  throw new AnvilarchError('Other requests for the same file or key kept this one from being accepted.', {
    code: 'overloaded', step: STEP, ran: 'not_run', retryAfterMs: CONFLICT_RETRY_MS
  })
}

async function readFile (context: DaemonContext, request: AcceptRequest): Promise<AcceptReading['file']> {
  const [row] = await context.platform.table.read([ROW_KEYS.file(request.batch.fileId)], request.signal)
  const value = row === null ? undefined : parseRow<FileRow>(row.value)
  if (row === null || value?.caller !== request.caller) {
    throw new AnvilarchError(`"input_file_id": there is no file "${request.batch.fileId}". Upload it again with POST /v1/files.`, {
      code: 'not_found', step: STEP, ran: 'not_run'
    })
  }
  checkFileFits(request.batch, value)
  return { row, value }
}

async function readKey (context: DaemonContext, caller: string, key: string): Promise<AcceptReading['key']> {
  const [row] = await context.platform.table.read([JOB_KEYS.jobByKey(caller, key)])
  if (row === null) return undefined
  const value = parseRow<JobKeyRow>(row.value)
  const [job] = await context.platform.table.read([ROW_KEYS.job(value.jobId)])
  return { row, value, job: job === null ? undefined : parseRow<JobRow>(job.value) }
}

async function readJobs (context: DaemonContext, file: FileRow): Promise<JobRow[]> {
  if (file.jobIds.length === 0) return []
  const rows = await context.platform.table.read(file.jobIds.map(ROW_KEYS.job))
  return rows.filter(row => row !== null).map(row => parseRow<JobRow>(row.value))
}

/** A caller's own key always returns its first job. Under a default key, a cancelled or expired job is replaced by a new one. */
function findExistingJob (reading: AcceptReading, request: AcceptRequest, hash: string): JobRow | undefined {
  const { key } = reading
  if (key?.job === undefined) return undefined
  if (key.value.contentHash !== hash) {
    throw new AnvilarchError(
      `The Idempotency-Key "${request.key}" belongs to job "${key.value.jobId}" with other content. Use another key for another job.`,
      { code: 'conflict', step: STEP, ran: 'not_run' }
    )
  }
  const endedIncomplete = key.job.state === 'cancelled' || key.job.state === 'expired'
  return request.key === undefined && endedIncomplete ? undefined : key.job
}

/** Concurrent requests may exceed the limit; it protects against floods and is not an exact quota. */
async function checkActiveJobs (context: DaemonContext, caller: string): Promise<void> {
  const { document } = requireConfiguration(context)
  const limits = document.callers[caller] ?? document.defaultCaller
  const page = await context.platform.table.scan(JOB_KEYS.callerActiveJobs(caller), { limit: limits.maxActiveJobs + 1 })
  if (page.rows.length < limits.maxActiveJobs) return
  throw new AnvilarchError(`You have ${page.rows.length} active jobs and may have ${limits.maxActiveJobs}. Wait until one ends, or cancel one.`, {
    code: 'rate_limited', step: STEP, ran: 'not_run', retryAfterMs: RATE_RETRY_MS
  })
}

function newJob (
  context: DaemonContext, request: AcceptRequest, identity: { jobId: string, key: string, hash: string, file: FileRow }
): JobRow {
  const createdAtMs = context.clock.wallMs()
  const { batch } = request
  return {
    id: identity.jobId,
    caller: request.caller,
    key: identity.key,
    contentHash: identity.hash,
    fileId: batch.fileId,
    endpoint: batch.endpoint,
    completionWindow: batch.completionWindow,
    metadata: batch.metadata,
    state: 'in_progress',
    createdAtMs,
    expiresAtMs: createdAtMs + batch.windowMs,
    partItems: identity.file.chunkItems,
    models: identity.file.models
  }
}

/** @returns false when a concurrent request has changed a row since it was read */
async function commitJob (context: DaemonContext, request: AcceptRequest, job: JobRow, reading: AcceptReading): Promise<boolean> {
  const { file, key, jobs } = reading
  const active: ActiveRow = {
    jobId: job.id,
    caller: job.caller,
    parts: job.partItems.length,
    models: job.models,
    createdAtMs: job.createdAtMs,
    expiresAtMs: job.expiresAtMs
  }
  const keyRow: JobKeyRow = { jobId: job.id, contentHash: job.contentHash }
  // The file row changes too, so that a concurrent delete of the file fails with a conflict.
  const jobIds = [...jobs.filter(existing => existing.state === 'in_progress').map(existing => existing.id), job.id]
  const fileRow: FileRow = { ...file.value, jobIds }
  const jobKey = JOB_KEYS.jobByKey(job.caller, job.key)
  const commit = {
    commitId: randomUUID(),
    conditions: [
      { key: jobKey, version: key?.row.version ?? 0 },
      { key: file.row.key, version: file.row.version },
      { key: ROW_KEYS.job(job.id), version: 0 }
    ],
    writes: [
      { key: ROW_KEYS.job(job.id), value: JSON.stringify(job) },
      { key: jobKey, value: JSON.stringify(keyRow) },
      { key: ROW_KEYS.activeJob(job.id), value: JSON.stringify(active) },
      { key: JOB_KEYS.callerJob(job.caller, job.id), value: '{}' },
      { key: JOB_KEYS.callerActiveJob(job.caller, job.id), value: '{}' },
      { key: file.row.key, value: JSON.stringify(fileRow) }
    ]
  }
  const { clock, platform, random } = context
  const result = await commitWithRetry({ table: platform.table, clock, random, signal: request.signal }, commit, STEP)
  return result.outcome === 'committed'
}
