/** Reads and writes jobs in the store. Every change of a job is a transaction conditional on the version of its row. */
import { type Clock, sleep } from 'anvilarch-utils'
import { Err, Ok, type Result } from 'ts-results'
import type { MetadataStore, RowCondition, RowKey, RowWrite, StoreFailure, StoredRow, TransactionOutcome } from '../store/types'
import { decodeJob, jobKey, encodeRecord } from './jobRows'
import type { JobRecord } from './types'
import type { Versioned } from '../store/tableCache'
import type { WorkTable } from './workTable'
import type { EventLog } from '../telemetry/events'

/** Local cache of jobs: of all, or of those recently read. */
export type JobCache = Pick<WorkTable, 'job' | 'update' | 'remove'>

/** Dependencies of the job functions. */
export interface JobParts {
  store: MetadataStore
  work: JobCache
  clock: Clock
  log: EventLog
}

/** A change of a job, and the rows that change with it. */
export interface JobChange {
  next: JobRecord
  conditions?: RowCondition[]
  puts?: RowWrite[]
  removes?: RowKey[]
}

/** Outcome of a change. `not_applicable`: the job, or a row that changes with it, no longer allows it. */
export type ChangeOutcome = 'applied' | 'not_applicable' | 'no_such_job' | 'refused' | 'unknown'

/** Maximum attempts of one change. Each conflict means that another daemon has made progress with the same job. */
const MAX_CHANGE_TRIES = 30

/** Pause before the next attempt after the store has refused a change. */
const REFUSED_PAUSE_MS = 150

/**
 * Reads a job from the store and updates the cache.
 *
 * @param parts - store and local cache
 * @param jobId - id of the job
 * @returns the job, or undefined when there is none
 */
export async function readJob (parts: JobParts, jobId: string): Promise<Result<Versioned<JobRecord> | undefined, StoreFailure>> {
  const key = jobKey(jobId)
  const read = await parts.store.readRows({ ...key, from: key.key, to: key.key + '\u0001' })
  if (read.err) return Err(read.val)
  const row = read.val.rows.find(candidate => candidate.key === key.key)
  if (row === undefined) return Ok(undefined)
  parts.work.update(row)
  return Ok(versionedJob(row))
}

/**
 * Changes a job under the version of its row, and retries after each conflict with another change.
 *
 * @param parts - store and local cache
 * @param jobId - id of the job
 * @param change - returns the next row and the rows that change with it; undefined when the job no longer allows the change
 * @param untilMs - local time after which a refused change is not retried
 * @returns the outcome
 */
export async function changeJob (
  parts: JobParts, jobId: string, change: (job: JobRecord) => JobChange | undefined, untilMs: number
): Promise<ChangeOutcome> {
  let job = parts.work.job(jobId)
  let mayBeStored = false
  for (let tries = 0; tries < MAX_CHANGE_TRIES; tries++) {
    if (job === undefined) {
      const read = await readJob(parts, jobId)
      if (read.err) return mayBeStored ? 'unknown' : 'refused'
      if (read.val === undefined) return 'no_such_job'
      job = read.val
    }
    const planned = change(job.record)
    if (planned === undefined) return 'not_applicable'
    const outcome = await commitChange(parts, jobId, job, planned)
    switch (outcome.outcome) {
      case 'committed':
        return 'applied'
      case 'conflict': {
        updateFromConflict(parts, [jobKey(jobId), ...planned.conditions ?? []], outcome.rows)
        const row = outcome.rows.find(candidate => candidate.table === jobKey(jobId).table && candidate.key === jobKey(jobId).key)
        job = row === undefined ? undefined : versionedJob(row)
        break
      }
      default:
        mayBeStored = mayBeStored || outcome.outcome === 'unknown'
        if (parts.clock.nowMs() > untilMs) return mayBeStored ? 'unknown' : 'refused'
        await sleep(parts.clock, REFUSED_PAUSE_MS)
        // The row may have changed while the outcome was unknown, so the next attempt reads it from the store.
        job = undefined
    }
  }
  return mayBeStored ? 'unknown' : 'refused'
}

/**
 * Updates the cache with the rows that a conflict has returned. A row that is not among them no longer exists.
 *
 * @param parts - local cache
 * @param conditions - rows on which the transaction was conditional
 * @param rows - those of them that exist
 */
export function updateFromConflict (parts: Pick<JobParts, 'work'>, conditions: readonly RowKey[], rows: readonly StoredRow[]): void {
  for (const condition of conditions) {
    const row = rows.find(candidate => candidate.key === condition.key && candidate.table === condition.table)
    if (row !== undefined && row.version > 0) parts.work.update(row)
    else parts.work.remove(condition, Infinity)
  }
}

async function commitChange (parts: JobParts, jobId: string, job: Versioned<JobRecord>, change: JobChange): Promise<TransactionOutcome> {
  const row = encodeRecord(jobKey(jobId), change.next)
  const outcome = await parts.store.commit({
    conditions: [{ ...jobKey(jobId), version: job.version }, ...change.conditions ?? []],
    puts: [row, ...change.puts ?? []],
    removes: change.removes ?? []
  })
  if (outcome.outcome === 'committed') {
    parts.work.update({ ...row, version: outcome.version })
    for (const key of change.removes ?? []) parts.work.remove(key, outcome.version)
  }
  return outcome
}

function versionedJob (row: StoredRow): Versioned<JobRecord> | undefined {
  const decoded = decodeJob(row)
  return decoded.ok ? { record: decoded.val, version: row.version } : undefined
}
