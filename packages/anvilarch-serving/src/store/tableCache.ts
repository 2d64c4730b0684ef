/** This process's copy of the rows of one table, from listings, the feed of changes and its own writes. */
import type { RowChange, RowKey, StoredRow } from './types'

/** A record and the version of its row. */
export interface Versioned<Record> {
  record: Record
  version: number
}

/** A copy of one table. */
export interface TableCache<Record> {
  get: (key: string) => Versioned<Record> | undefined
  values: () => Iterable<Versioned<Record>>
  /** Takes a row that this process has just written or read, if it is newer than the copy. */
  update: (row: StoredRow) => void
  /** Forgets a row that is gone as of a version. */
  remove: (key: RowKey, version: number) => void
  /** Takes the whole table as of a version of the store. */
  onListing: (rows: readonly StoredRow[], version: number) => void
  onChange: (change: RowChange) => void
  /** @returns version of the store as of which the table was last listed; undefined before */
  listedAtVersion: () => number | undefined
}

interface Entry<Record> {
  version: number
  versioned: Versioned<Record> | undefined
}

/**
 * A copy of a table whose keys are unique over all its partitions.
 *
 * @param decode - a row; gives undefined when the bytes are not of this program
 * @returns an empty copy
 */
export function createTableCache<Record> (decode: (row: StoredRow) => Record | undefined): TableCache<Record> {
  const entries = new Map<string, Entry<Record>>()
  let listedAtVersion: number | undefined

  const put = (row: StoredRow): void => {
    const known = entries.get(row.key)
    if (known !== undefined && known.version >= row.version) return
    const record = decode(row)
    entries.set(row.key, { version: row.version, versioned: record === undefined ? undefined : { record, version: row.version } })
  }

  // The feed may tell of a removal after this process has written the row anew; the newer row stays.
  const remove = (key: RowKey, version: number): void => {
    const known = entries.get(key.key)
    if (known !== undefined && known.version <= version) entries.delete(key.key)
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
