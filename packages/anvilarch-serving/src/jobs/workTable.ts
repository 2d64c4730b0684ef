/** This process's copy of the jobs, claims and members in the store. */
import { createTableCache, type TableCache, type Versioned } from '../store/tableCache'
import type { RowKey, StoredRow } from '../store/types'
import type { TableListener } from '../store/tableFollower'
import { CLAIM_TABLE, claimRowKey, decodeRecord, JOB_TABLE, MEMBER_TABLE } from './jobRows'
import type { ClaimRecord, JobRecord, MemberRecord } from './types'

/** What this process knows of all work. */
export interface WorkTable {
  job: (jobId: string) => Versioned<JobRecord> | undefined
  jobs: () => Iterable<Versioned<JobRecord>>
  claim: (jobId: string, item: number) => Versioned<ClaimRecord> | undefined
  members: () => Iterable<Versioned<MemberRecord>>
  member: (name: string) => Versioned<MemberRecord> | undefined
  /** @returns version of the store as of which the members were last listed; undefined before */
  membersListedAtVersion: () => number | undefined
  /** Takes a row that this process has just written or read, if it is newer than the copy. */
  update: (row: StoredRow) => void
  /** Forgets a row that this process has just removed. */
  remove: (key: RowKey, version: number) => void
  /** Ends of the copy that hear of each table. */
  listeners: { jobs: TableListener, claims: TableListener, members: TableListener }
}

/** @returns an empty copy */
export function createWorkTable (): WorkTable {
  const jobs = createTableCache<JobRecord>(decodeRecord)
  const claims = createTableCache<ClaimRecord>(decodeRecord)
  const members = createTableCache<MemberRecord>(decodeRecord)
  const copies: ReadonlyMap<string, TableCache<unknown>> = new Map<string, TableCache<unknown>>([[JOB_TABLE, jobs], [CLAIM_TABLE, claims], [MEMBER_TABLE, members]])

  return {
    job: jobId => jobs.get(jobId),
    jobs: jobs.values,
    claim: (jobId, item) => claims.get(claimRowKey(jobId, item)),
    members: members.values,
    member: name => members.get(name),
    membersListedAtVersion: members.listedAtVersion,
    update: row => copies.get(row.table)?.update(row),
    remove: (key, version) => copies.get(key.table)?.remove(key, version),
    listeners: { jobs, claims, members }
  }
}
