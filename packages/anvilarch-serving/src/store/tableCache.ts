/** Local cache of the rows of one table, filled by listings, the feed of changes and the writes of this process. */
import type { Result } from 'ts-results'
import type { RowProblem } from './rowValues'
import type { RowChange, RowKey, StoredRow } from './types'
import type { UnusableRows } from './unusableRows'

/** A decoded record and the version of its row. */
export interface Versioned<Record> {
  record: Record
  version: number
}

/** Local cache of one table. */
export interface TableCache<Record> {
  get: (key: string) => Versioned<Record> | undefined
  /** @returns version of the cached row, also of one that cannot be used; 0 if there is none */
  rowVersion: (key: string) => number
  values: () => Iterable<Versioned<Record>>
  /** Stores a row that this process has just written or read, unless the cached one is as new. */
  update: (row: StoredRow) => void
  /** Removes a row that was deleted as of a version, unless the cached one is newer. */
  remove: (key: RowKey, version: number) => void
  /** Replaces the rows by the whole table as of a version of the store. Newer rows stay. */
  onListing: (rows: readonly StoredRow[], version: number) => void
  onChange: (change: RowChange) => void
  /** @returns version of the store at the last listing; undefined before the first */
  listedAtVersion: () => number | undefined
}

interface Entry<Record> {
  version: number
  versioned: Versioned<Record> | undefined
}

/**
 * Creates a cache for a table whose keys are unique across all its partitions.
 *
 * @param decode - decodes a row
 * @param unusable - receives rows that cannot be decoded
 * @returns an empty cache
 */
export function createTableCache<Record> (decode: (row: StoredRow) => Result<Record, RowProblem>, unusable: UnusableRows): TableCache<Record> {
  const entries = new Map<string, Entry<Record>>()
  let listedAtVersion: number | undefined

  const put = (row: StoredRow): void => {
    const cached = entries.get(row.key)
    if (cached !== undefined && cached.version >= row.version) return
    const decoded = decode(row)
    if (decoded.err) unusable.report(row, decoded.val)
    entries.set(row.key, { version: row.version, versioned: decoded.ok ? { record: decoded.val, version: row.version } : undefined })
  }

  // The feed may report a removal after this process has written the row again. The newer row stays.
  const remove = (key: RowKey, version: number): void => {
    const cached = entries.get(key.key)
    if (cached !== undefined && cached.version <= version) entries.delete(key.key)
  }

  return {
    get: key => entries.get(key)?.versioned,
    rowVersion: key => entries.get(key)?.version ?? 0,
    values: function * () {
      for (const { versioned } of entries.values()) if (versioned !== undefined) yield versioned
    },
    update: put,
    remove,
    onListing: (rows, version) => {
      const listed = new Set(rows.map(row => row.key))
      for (const [key, entry] of entries) if (!listed.has(key) && entry.version <= version) entries.delete(key)
      rows.forEach(put)
      listedAtVersion = version
    },
    onChange: change => {
      if (change.change === 'put') put(change.row)
      else remove(change.key, change.version)
    },
    listedAtVersion: () => listedAtVersion
  }
}
