/** This process's copy of the jobs, claims and members in the store. */
import type { RowChange, RowKey, StoredRow } from '../store/types'
import { claimKey, decodeWorkRow } from './jobRows'
import type { ClaimRecord, JobRecord, MemberRecord } from './types'

/** A record and the version of its row. */
export interface Versioned<Record> {
  record: Record
  version: number
}

/** What this process knows of all work. */
export interface WorkTable {
  job: (jobId: string) => Versioned<JobRecord> | undefined
  jobs: () => Iterable<Versioned<JobRecord>>
  claim: (jobId: string, item: number) => Versioned<ClaimRecord> | undefined
  members: () => Iterable<Versioned<MemberRecord>>
  member: (name: string) => Versioned<MemberRecord> | undefined
  /** Takes a row that this process has just written or read, if it is newer than the copy. */
  learn: (row: StoredRow) => void
  /** Forgets a row that this process has just removed. */
  forget: (key: RowKey, version: number) => void
  onListing: (rows: StoredRow[]) => void
  onChange: (change: RowChange) => void
  /** Calls the listener after each change. @returns a function that ends it */
  subscribe: (listener: () => void) => () => void
}

interface Entry {
  version: number
  row: ReturnType<typeof decodeWorkRow>
}

/** @returns an empty copy */
export function createWorkTable (): WorkTable {
  const entries = new Map<string, Entry>()
  const jobs = new Map<string, Versioned<JobRecord>>()
  const members = new Map<string, Versioned<MemberRecord>>()
  const listeners = new Set<() => void>()

  const index = (id: string, entry: Entry | undefined): void => {
    const previous = entries.get(id)?.row
    if (previous?.kind === 'job') jobs.delete(previous.record.jobId)
    if (previous?.kind === 'member') members.delete(previous.record.name)
    if (entry === undefined) {
      entries.delete(id)
      return
    }
    entries.set(id, entry)
    if (entry.row?.kind === 'job') jobs.set(entry.row.record.jobId, { record: entry.row.record, version: entry.version })
    if (entry.row?.kind === 'member') members.set(entry.row.record.name, { record: entry.row.record, version: entry.version })
  }

  const put = (row: StoredRow): void => {
    const id = rowId(row)
    const known = entries.get(id)
    if (known !== undefined && known.version >= row.version) return
    index(id, { version: row.version, row: decodeWorkRow(row, row.value) })
  }

  // The feed may tell of a removal after this process has written the row anew; the newer row stays.
  const remove = (key: RowKey, version: number): void => {
    const id = rowId(key)
    const known = entries.get(id)
    if (known !== undefined && known.version <= version) index(id, undefined)
  }

  const notify = (): void => {
    for (const listener of [...listeners]) listener()
  }

  return {
    job: jobId => jobs.get(jobId),
    jobs: () => jobs.values(),
    claim: (jobId, item) => {
      const entry = entries.get(rowId(claimKey(jobId, item)))
      return entry?.row?.kind === 'claim' ? { record: entry.row.record, version: entry.version } : undefined
    },
    members: () => members.values(),
    member: name => members.get(name),
    learn: row => {
      put(row)
      notify()
    },
    forget: (key, version) => {
      remove(key, version)
      notify()
    },
    onListing: rows => {
      const listed = new Set(rows.map(rowId))
      const oldest = rows.reduce((version, row) => Math.max(version, row.version), 0)
      for (const [id, entry] of [...entries]) {
        if (!listed.has(id) && entry.version <= oldest) index(id, undefined)
      }
      rows.forEach(put)
      notify()
    },
    onChange: change => {
      if (change.change === 'put') put(change.row)
      else remove(change.key, change.version)
      notify()
    },
    subscribe: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}

function rowId (key: RowKey): string {
  return `${key.partition}/${key.key}`
}
