/** Accepts a job: the whole job is stored before the client is notified. */
import { sleep } from 'anvilarch-utils'
import { Err, Ok, type Result } from 'ts-results'
import type { Route } from '../model/types'
import type { RowKey, StoreFailure, Transaction } from '../store/types'
import { withRepeats } from '../store/withRepeats'
import { createJobRecord } from './jobRecord'
import { decodeJob, JOB_TABLE, jobKey, encodeRecord, submissionObject } from './jobRows'
import { type JobParts, readJob } from './jobStore'
import { decodePage, firstPageRange, furtherPagesRange, isFull, type JobLookup, pageKey, paginate, planReservation, quotaKey, type Reservation, type ReservationPage, reservedTokens } from './quota'
import { encodeSubmission } from './submission'
import type { JobItem, JobRecord } from './types'

/** A job as a client submits it. */
export interface Submission {
  /** Id in the store; see `storedJobId`. */
  jobId: string
  account: string | undefined
  host: string
  path: string
  items: JobItem[]
}

/**
 * Outcome of a submission. `refused` and `over_limit`: no part of this submission will ever run.
 * `unknown`: it may have been accepted; only a repeated submission of the same job can determine that.
 */
export type AcceptOutcome = 'accepted' | 'over_limit' | 'refused' | 'unknown'

/** Number of reservations at which finished jobs are looked up and removed, so that the list does not grow with each job. */
const MANY_RESERVATIONS = 300

/** Pause between attempts while the store refuses calls. */
const RETRY_PAUSE_MS = 120

/** Calls of an acceptance that follow one another: the job is read, stored and created. */
const SEQUENTIAL_CALLS = 3

/**
 * @param parts - store and local cache of the jobs
 * @param route - the route of the submission
 * @param submission - the job
 * @param untilMs - local time by which the client needs a response
 * @returns the outcome
 */
export async function acceptJob (parts: JobParts, route: Route, submission: Submission, untilMs: number): Promise<AcceptOutcome> {
  if (parts.work.job(submission.jobId) !== undefined) return 'accepted'
  // Every write of an acceptance is conditional, so a call that is executed twice changes nothing the second time.
  const repeating = { ...parts, store: withRepeats(parts.store, (untilMs - parts.clock.nowMs()) / SEQUENTIAL_CALLS) }
  const prepared = await withDeadline(parts, untilMs, prepare(repeating, route, submission, untilMs))
  if (prepared === 'ready') return await createJob(repeating, route, submission, untilMs)
  return prepared ?? 'refused'
}

/** Stores the items and reserves the tokens. Until its row exists the job cannot run, however late these writes take effect. */
async function prepare (parts: JobParts, route: Route, submission: Submission, untilMs: number): Promise<AcceptOutcome | 'ready'> {
  // A repeated submission may arrive before the local cache has the job; a limit that the job itself has reached must not refuse it.
  const known = await readJob(parts, submission.jobId)
  if (known.ok && known.val !== undefined) return 'accepted'
  const [stored, reserved] = await Promise.all([
    storeItems(parts, submission, untilMs),
    reserveTokens(parts, route, submission, untilMs)
  ])
  if (reserved !== 'accepted') return reserved
  return stored ? 'ready' : 'refused'
}

/**
 * Limits the time of the work. Calls to an unresponsive store last as long as their own timeouts, one after another; the client
 * gets a response when its time is up, so that it can try another gateway.
 *
 * @returns the result of the work, or undefined when the time is up first
 */
async function withDeadline<Value> (parts: JobParts, untilMs: number, work: Promise<Value>): Promise<Value | undefined> {
  const settled = new AbortController()
  const timeout = sleep(parts.clock, untilMs - parts.clock.nowMs(), settled.signal).then(() => undefined)
  try {
    return await Promise.race([work, timeout])
  } finally {
    settled.abort()
  }
}

async function storeItems (parts: JobParts, submission: Submission, untilMs: number): Promise<boolean> {
  const bytes = encodeSubmission(submission.items)
  for (;;) {
    const outcome = await parts.store.writeObject(submissionObject(submission.jobId), bytes)
    if (outcome === 'stored' || outcome === 'exists') return true
    if (parts.clock.nowMs() > untilMs) return false
    await sleep(parts.clock, RETRY_PAUSE_MS)
  }
}

async function reserveTokens (parts: JobParts, route: Route, submission: Submission, untilMs: number): Promise<AcceptOutcome> {
  if (route.waitingTokenLimit === 0) return 'accepted'
  const first = quotaKey(route.name, submission.account)
  const tokens = submission.items.reduce((sum, item) => sum + item.tokens, 0)
  for (;;) {
    const read = await readPages(parts, first)
    if (read.ok) {
      const pages = read.val
      const current = pages.flatMap(page => page.reservations)
      const wanted = { jobId: submission.jobId, tokens, reservedAtMs: Math.round(parts.store.storeNowMs() ?? 0) }
      // Reading the jobs is worthwhile only if the limit seems reached or the list has grown long: it shows which tokens are still waiting.
      const seemsFull = reservedTokens(current) + tokens > route.waitingTokenLimit || current.length >= MANY_RESERVATIONS
      const known = seemsFull ? await readJobs(parts, current) : { job: parts.work.job, isComplete: false }
      if (known === undefined) {
        if (parts.clock.nowMs() > untilMs) return 'refused'
        await sleep(parts.clock, RETRY_PAUSE_MS)
        continue
      }
      const plan = planReservation(current, wanted, route.waitingTokenLimit, known)
      if (plan.plan === 'already_reserved') return 'accepted'
      if (plan.plan === 'full') {
        parts.log.info('job over the limit of waiting tokens', { jobId: submission.jobId, tokens, waitingTokens: plan.waitingTokens, limitTokens: route.waitingTokenLimit })
        return 'over_limit'
      }
      const outcome = await parts.store.commit(pageTransaction(first, pages, plan.reservations))
      if (outcome.outcome === 'committed') return 'accepted'
      if (outcome.outcome === 'conflict' && parts.clock.nowMs() < untilMs) continue
    }
    if (parts.clock.nowMs() > untilMs) return 'refused'
    await sleep(parts.clock, RETRY_PAUSE_MS)
  }
}

/** Most accounts have a single page, so the further ones are read only if it is full. */
async function readPages (parts: JobParts, first: RowKey): Promise<Result<ReservationPage[], StoreFailure>> {
  const read = await parts.store.readRows(firstPageRange(first))
  if (read.err) return Err(read.val)
  const pages = [decodePage(first, read.val.rows)]
  if (pages[0].problem !== undefined) parts.log.error('row cannot be used', { table: first.table, key: first.key, ...pages[0].problem })
  if (!isFull(pages[0])) return Ok(pages)
  const further = await parts.store.readRows(furtherPagesRange(first))
  if (further.err) return Err(further.val)
  for (let page = 1; page <= further.val.rows.length; page++) pages.push(decodePage(pageKey(first, page), further.val.rows))
  return Ok(pages)
}

/** Writes the pages that change, under the versions of all pages. */
function pageTransaction (first: RowKey, pages: readonly ReservationPage[], reservations: readonly Reservation[]): Transaction {
  const next = paginate(reservations, pages.length)
  const changed = next.map((page, index) => ({ ...pageKey(first, index), value: Buffer.from(JSON.stringify(page)) }))
    .filter((_, index) => JSON.stringify(next[index]) !== JSON.stringify(pages[index]?.reservations))
  return { conditions: next.map((_, index) => ({ ...pageKey(first, index), version: pages[index]?.version ?? 0 })), puts: changed, removes: [] }
}

/** Reads the jobs of reservations, which may be more than the local cache holds. @returns the jobs, or undefined if a read failed */
async function readJobs (parts: JobParts, reservations: readonly Reservation[]): Promise<JobLookup | undefined> {
  const partitions = new Set(reservations.map(reservation => jobKey(reservation.jobId).partition))
  const reads = await Promise.all([...partitions].map(partition => parts.store.readRows({ table: JOB_TABLE, partition })))
  const reserved = new Set(reservations.map(reservation => reservation.jobId))
  const jobs = new Map<string, { record: JobRecord }>()
  for (const read of reads) {
    if (read.err) return undefined
    for (const row of read.val.rows) {
      const decoded = reserved.has(row.key) ? decodeJob(row) : undefined
      if (decoded?.ok === true) jobs.set(row.key, { record: decoded.val })
    }
  }
  return { job: jobId => jobs.get(jobId), isComplete: true }
}

async function createJob (parts: JobParts, route: Route, submission: Submission, untilMs: number): Promise<AcceptOutcome> {
  const key = jobKey(submission.jobId)
  let mayBeStored = false
  for (;;) {
    const nowMs = parts.store.storeNowMs()
    if (nowMs !== undefined) {
      const row = encodeRecord(key, createJobRecord(submission.items, {
        jobId: submission.jobId,
        account: submission.account,
        host: submission.host,
        path: submission.path,
        nowMs,
        dueMs: route.jobDueMs,
        expiryMs: route.jobExpiryMs,
        maxAttempts: route.maxAttempts
      }))
      const outcome = await parts.store.commit({ conditions: [{ ...key, version: 0 }], puts: [row], removes: [] })
      if (outcome.outcome === 'committed') {
        parts.work.update({ ...row, version: outcome.version })
        return 'accepted'
      }
      if (outcome.outcome === 'conflict') return 'accepted'
      mayBeStored = mayBeStored || outcome.outcome === 'unknown'
    }
    if (parts.clock.nowMs() > untilMs) return mayBeStored ? 'unknown' : 'refused'
    await sleep(parts.clock, RETRY_PAUSE_MS)
  }
}
