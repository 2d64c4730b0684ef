/** Local cache of the rows of one table, filled by listings, the feed of changes and the writes of this process. */
import type { RowChange, RowKey, StoredRow } from './types'

/** A decoded record and the version of its row. */
export interface Versioned<Record> {
  record: Record
  version: number
}

/** Local cache of one table. */
export interface TableCache<Record> {
  get: (key: string) => Versioned<Record> | undefined
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
 * @param decode - decodes a row; returns undefined for bytes that this program has not written
 * @returns an empty cache
 */
export function createTableCache<Record> (decode: (row: StoredRow) => Record | undefined): TableCache<Record> {
  const entries = new Map<string, Entry<Record>>()
  let listedAtVersion: number | undefined

  const put = (row: StoredRow): void => {
    const cached = entries.get(row.key)
    if (cached !== undefined && cached.version >= row.version) return
    const record = decode(row)
    entries.set(row.key, { version: row.version, versioned: record === undefined ? undefined : { record, version: row.version } })
  }

  // The feed may report a removal after this process has written the row again. The newer row stays.
  const remove = (key: RowKey, version: number): void => {
    const cached = entries.get(key.key)
    if (cached !== undefined && cached.version <= version) entries.delete(key.key)
  }

  return {
    get: key => entries.get(key)?.versioned,
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
