/** This process's cache of the jobs, claims and members in the store. */
import { createTableCache, type TableCache, type Versioned } from '../store/tableCache'
import type { RowKey, StoredRow } from '../store/types'
import type { TableListener } from '../store/tableFollower'
import { CLAIM_TABLE, claimRowKey, decodeRecord, JOB_TABLE, MEMBER_TABLE } from './jobRows'
import type { ClaimRecord, JobRecord, MemberRecord } from './types'

/** Local cache of all jobs, claims and members. */
export interface WorkTable {
  job: (jobId: string) => Versioned<JobRecord> | undefined
  jobs: () => Iterable<Versioned<JobRecord>>
  claim: (jobId: string, item: number) => Versioned<ClaimRecord> | undefined
  members: () => Iterable<Versioned<MemberRecord>>
  member: (name: string) => Versioned<MemberRecord> | undefined
  /** @returns store version of the last listing of the members; undefined before the first */
  membersListedAtVersion: () => number | undefined
  /** Applies a row that this process has written or read, if it is newer than the cached one. */
  update: (row: StoredRow) => void
  /** Removes a row that this process has removed from the store. */
  remove: (key: RowKey, version: number) => void
  /** Listeners that apply listings and changes of each table to the cache. */
  listeners: { jobs: TableListener, claims: TableListener, members: TableListener }
}

/** @returns an empty cache */
export function createWorkTable (): WorkTable {
  const jobs = createTableCache<JobRecord>(decodeRecord)
  const claims = createTableCache<ClaimRecord>(decodeRecord)
  const members = createTableCache<MemberRecord>(decodeRecord)
  const caches: ReadonlyMap<string, TableCache<unknown>> = new Map<string, TableCache<unknown>>([[JOB_TABLE, jobs], [CLAIM_TABLE, claims], [MEMBER_TABLE, members]])

  return {
    job: jobId => jobs.get(jobId),
    jobs: jobs.values,
    claim: (jobId, item) => claims.get(claimRowKey(jobId, item)),
    members: members.values,
    member: name => members.get(name),
    membersListedAtVersion: members.listedAtVersion,
    update: row => caches.get(row.table)?.update(row),
    remove: (key, version) => caches.get(key.table)?.remove(key, version),
    listeners: { jobs, claims, members }
  }
}
