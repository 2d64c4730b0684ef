/** This process's cache of the jobs, claims and members in the store. */
import { createTableCache, type TableCache, type Versioned } from '../store/tableCache'
import { NO_REPORTS, type UnusableRows } from '../store/unusableRows'
import type { RowKey, StoredRow } from '../store/types'
import type { TableListener } from '../store/tableFollower'
import { CLAIM_TABLE, claimRowKey, decodeClaim, decodeJob, decodeMember, JOB_TABLE, MEMBER_TABLE } from './jobRows'
import type { ClaimRecord, JobRecord, MemberRecord } from './types'

/** Local cache of all jobs, claims and members. */
export interface WorkTable {
  job: (jobId: string) => Versioned<JobRecord> | undefined
  jobs: () => Iterable<Versioned<JobRecord>>
  claim: (jobId: string, item: number) => Versioned<ClaimRecord> | undefined
  /** @returns version of the row by which an item is claimed, also of one that cannot be used; 0 if there is no row */
  claimVersion: (jobId: string, item: number) => number
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

/**
 * @param unusable - receives rows that describe no job, claim or member
 * @returns an empty cache
 */
export function createWorkTable (unusable: UnusableRows = NO_REPORTS): WorkTable {
  const jobs = createTableCache<JobRecord>(decodeJob, unusable)
  const claims = createTableCache<ClaimRecord>(decodeClaim, unusable)
  const members = createTableCache<MemberRecord>(decodeMember, unusable)
  const caches: ReadonlyMap<string, TableCache<unknown>> = new Map<string, TableCache<unknown>>([[JOB_TABLE, jobs], [CLAIM_TABLE, claims], [MEMBER_TABLE, members]])

  return {
    job: jobId => jobs.get(jobId),
    jobs: jobs.values,
    claim: (jobId, item) => claims.get(claimRowKey(jobId, item)),
    claimVersion: (jobId, item) => claims.rowVersion(claimRowKey(jobId, item)),
    members: members.values,
    member: name => members.get(name),
    membersListedAtVersion: members.listedAtVersion,
    update: row => caches.get(row.table)?.update(row),
    remove: (key, version) => caches.get(key.table)?.remove(key, version),
    listeners: { jobs, claims, members }
  }
}
