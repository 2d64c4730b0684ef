/** Reads and writes jobs in the store. Every change of a job is a transaction on the version of its row. */
import { type Clock, sleep } from 'anvilarch-utils'
import { Err, Ok, type Result } from 'ts-results'
import type { MetadataStore, RowCondition, RowKey, RowWrite, StoreFailure, StoredRow, TransactionOutcome } from '../store/types'
import { decodeRecord, jobKey, encodeRecord } from './jobRows'
import type { JobRecord } from './types'
import type { Versioned } from '../store/tableCache'
import type { WorkTable } from './workTable'
import type { EventLog } from '../telemetry/events'

/** What this process knows of jobs: a copy of all, or of those that it has lately read. */
export type JobCopy = Pick<WorkTable, 'job' | 'update' | 'remove'>

/** Parts that jobs need. */
export interface JobParts {
  store: MetadataStore
  work: JobCopy
  clock: Clock
  log: EventLog
}

/** Rows that change together with the job's. */
export interface JobChange {
  next: JobRecord
  conditions?: RowCondition[]
  puts?: RowWrite[]
  removes?: RowKey[]
}

/** How a change of a job ended. `not_applicable`: the job, or a row that changes with it, no longer allows it. */
export type ChangeOutcome = 'applied' | 'not_applicable' | 'no_such_job' | 'refused' | 'unknown'

/** Tries of one change. Each conflict means that another daemon has made progress with the same job. */
const MAX_CHANGE_TRIES = 30

/** Pause after the store has refused a change. */
const REFUSED_PAUSE_MS = 150

/**
 * Reads a job from the store and takes it into the copy.
 *
 * @param parts - store and copy
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
 * Changes a job under the version of its row, again after each conflict with another change.
 *
 * @param parts - store and copy
 * @param jobId - id of the job
 * @param change - the next row and what changes with it; undefined when the job no longer allows the change
 * @param untilMs - local time after which the change is given up
 * @returns how it ended
 */
export async function changeJob (
  parts: JobParts, jobId: string, change: (job: JobRecord) => JobChange | undefined, untilMs: number
): Promise<ChangeOutcome> {
  let job = parts.work.job(jobId)
  let doubtful = false
  for (let tries = 0; tries < MAX_CHANGE_TRIES; tries++) {
    if (job === undefined) {
      const read = await readJob(parts, jobId)
      if (read.err) return doubtful ? 'unknown' : 'refused'
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
        doubtful = doubtful || outcome.outcome === 'unknown'
        if (parts.clock.nowMs() > untilMs) return doubtful ? 'unknown' : 'refused'
        await sleep(parts.clock, REFUSED_PAUSE_MS)
        // The state may have moved while the outcome is in doubt: the next try starts from the store's own row.
        job = undefined
    }
  }
  return doubtful ? 'unknown' : 'refused'
}

/**
 * Takes the rows that a conflict has shown into the copy. A row that is not among them no longer exists.
 *
 * @param parts - copy of the work
 * @param conditions - rows on which the transaction depended
 * @param rows - those that exist
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
  const record = decodeRecord<JobRecord>(row)
  return record === undefined ? undefined : { record, version: row.version }
}
