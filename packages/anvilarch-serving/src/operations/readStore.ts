/** Reads the complete state in the store for operators. */
import { Ok, type Result } from 'ts-results'
import { decodeJob, decodeMember, JOB_TABLE, MEMBER_TABLE } from '../jobs/jobRows'
import { JOB_PARTITIONS, MEMBER_PARTITION } from '../jobs/partitions'
import type { JobRecord, MemberRecord } from '../jobs/types'
import type { ListedAccount } from '../accounts/types'
import type { Endpoint, ListedConfiguration } from '../model/types'
import type { OperatorWire } from '../roles/types'
import type { RowProblem } from '../store/rowValues'
import type { MetadataStore, StoredRow, StoreFailure } from '../store/types'

/** An account as shown to operators: the number of its keys, but never the keys. */
export interface AccountSummary extends Omit<ListedAccount, 'keys'> {
  keyCount: number
}

/** The complete state of a deployment in the store. */
export interface StoreSnapshot {
  configuration: Omit<ListedConfiguration, 'accounts'> | undefined
  accounts: AccountSummary[]
  endpoints: Endpoint[]
  members: MemberRecord[]
  jobs: JobRecord[]
  /** Time on the store's clock at the read, from which the ages of jobs are computed; undefined if it is unknown. */
  storeNowMs: number | undefined
}

/**
 * Reads the complete state in the store.
 *
 * @param store - client of the store
 * @param wire - decoders for configuration and endpoint rows
 * @returns the state, or the reason why it cannot be read
 */
export async function readStoreSnapshot (store: MetadataStore, wire: OperatorWire): Promise<Result<StoreSnapshot, StoreFailure>> {
  const snapshot: StoreSnapshot = { configuration: undefined, accounts: [], endpoints: [], members: [], jobs: [], storeNowMs: undefined }
  const configurationRows = await store.readRows({ table: wire.configurationTable, partition: '' })
  if (configurationRows.err) return configurationRows
  for (const row of configurationRows.val.rows) {
    const listed = wire.decodeConfiguration(row)
    if (listed === undefined) continue
    const { accounts, ...configuration } = listed
    snapshot.configuration = configuration
    snapshot.accounts = accounts?.map(summarizeAccount) ?? []
  }
  const endpointRows = await store.readRows({ table: wire.endpointTable, partition: '' })
  if (endpointRows.err) return endpointRows
  snapshot.endpoints = endpointRows.val.rows.map(wire.decodeEndpoint).flatMap(row => row.row === 'endpoint' ? [row.endpoint] : [])
  const members = await readRecords(store, MEMBER_TABLE, [MEMBER_PARTITION], decodeMember)
  if (members.err) return members
  snapshot.members = members.val
  const jobs = await readRecords(store, JOB_TABLE, JOB_PARTITIONS, decodeJob)
  if (jobs.err) return jobs
  snapshot.jobs = jobs.val
  snapshot.storeNowMs = store.storeNowMs()
  return Ok(snapshot)
}

function summarizeAccount ({ keys, ...account }: ListedAccount): AccountSummary {
  return { ...account, keyCount: keys.length }
}

async function readRecords<Record extends JobRecord | MemberRecord> (
  store: MetadataStore, table: string, partitions: readonly string[], decode: (row: StoredRow) => Result<Record, RowProblem>
): Promise<Result<Record[], StoreFailure>> {
  const records: Record[] = []
  for (const partition of partitions) {
    const read = await store.readRows({ table, partition })
    if (read.err) return read
    records.push(...read.val.rows.map(decode).flatMap(decoded => decoded.ok ? [decoded.val] : []))
  }
  return Ok(records)
}

/** State of a job as shown to operators. */
export type JobState = 'open' | 'done' | 'ended'

/** Summary of a job. */
export interface JobSummary {
  jobId: string
  state: JobState
  itemCount: number
  completed: number
  givenUp: number
  /** Time until the job is due, in milliseconds; negative if it is overdue, undefined if the store's clock is unknown. */
  dueInMs: number | undefined
}

/**
 * Summarizes a job for operators.
 *
 * @param job - the stored record
 * @param storeNowMs - time on the store's clock
 * @returns the summary
 */
export function summarizeJob (job: JobRecord, storeNowMs: number | undefined): JobSummary {
  const completed = job.listed.filter(entry => entry.outcome === 'completed').length
  const done = job.listed.length >= job.itemIds.length
  return {
    jobId: job.jobId,
    state: job.ended ? 'ended' : done ? 'done' : 'open',
    itemCount: job.itemIds.length,
    completed,
    givenUp: job.listed.length - completed,
    dueInMs: storeNowMs === undefined ? undefined : Math.round(job.dueAtMs - storeNowMs)
  }
}
