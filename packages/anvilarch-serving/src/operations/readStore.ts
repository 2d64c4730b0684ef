/** Reads the whole state in the store, for an operator. */
import { Ok, type Result } from 'ts-results'
import { decodeRecord, JOB_TABLE, MEMBER_TABLE } from '../jobs/jobRows'
import { JOB_PARTITIONS, MEMBER_PARTITION } from '../jobs/partitions'
import type { JobRecord, MemberRecord } from '../jobs/types'
import type { ListedAccount } from '../accounts/types'
import type { Endpoint, ListedConfiguration } from '../model/types'
import type { OperatorWire } from '../roles/types'
import type { MetadataStore, StoreFailure } from '../store/types'

/** An account as an operator sees it: its keys are counted, never shown. */
export interface AccountSummary extends Omit<ListedAccount, 'keys'> {
  keyCount: number
}

/** All that the store knows of a deployment. */
export interface StoreSnapshot {
  configuration: Omit<ListedConfiguration, 'accounts'> | undefined
  accounts: AccountSummary[]
  endpoints: Endpoint[]
  members: MemberRecord[]
  jobs: JobRecord[]
  /** The store's clock when it was read; ages of jobs are told by it. */
  storeNowMs: number | undefined
}

/**
 * @param store - client of the store
 * @param wire - decoders of the operator's rows
 * @returns the state, or why it cannot be read
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
  const members = await readRecords<MemberRecord>(store, MEMBER_TABLE, [MEMBER_PARTITION])
  if (members.err) return members
  snapshot.members = members.val
  const jobs = await readRecords<JobRecord>(store, JOB_TABLE, JOB_PARTITIONS)
  if (jobs.err) return jobs
  snapshot.jobs = jobs.val
  snapshot.storeNowMs = store.storeNowMs()
  return Ok(snapshot)
}

function summarizeAccount ({ keys, ...account }: ListedAccount): AccountSummary {
  return { ...account, keyCount: keys.length }
}

async function readRecords<Record extends JobRecord | MemberRecord> (
  store: MetadataStore, table: string, partitions: readonly string[]
): Promise<Result<Record[], StoreFailure>> {
  const records: Record[] = []
  for (const partition of partitions) {
    const read = await store.readRows({ table, partition })
    if (read.err) return read
    records.push(...read.val.rows.map(row => decodeRecord<Record>(row)).filter(record => record !== undefined))
  }
  return Ok(records)
}

/** State of a job as an operator sees it. */
export type JobState = 'open' | 'done' | 'ended'

/** A job in a line. */
export interface JobSummary {
  jobId: string
  state: JobState
  itemCount: number
  completed: number
  givenUp: number
  /** Time until the job is due; negative when it is past that. */
  dueInMs: number | undefined
}

/**
 * @param job - the row
 * @param storeNowMs - the store's clock
 * @returns what an operator wants to know of it
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
