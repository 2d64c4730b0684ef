/** This process's copy of the rows of one table, from listings, the feed of changes and its own writes. */
import type { RowChange, RowKey, StoredRow } from './types'

/** A record and the version of its row. */
export interface Versioned<Record> {
  record: Record
  version: number
}

/** A copy of one table. */
export interface RowCopy<Record> {
  get: (key: RowKey) => Versioned<Record> | undefined
  values: () => Iterable<Versioned<Record>>
  /** Takes a row that this process has just written or read, if it is newer than the copy. */
  learn: (row: StoredRow) => void
  /** Forgets a row that is gone as of a version. */
  forget: (key: RowKey, version: number) => void
  /** Takes the whole table as of a version of the store. */
  onListing: (rows: readonly StoredRow[], version: number) => void
  onChange: (change: RowChange) => void
  /** @returns version of the store as of which the table was last listed; undefined before */
  listedAtVersion: () => number | undefined
}

/** Options of `createRowCopy`. */
export interface RowCopyOptions<Record> {
  /** @returns the record; undefined when the bytes are not of this program */
  decode: (row: StoredRow) => Record | undefined
  /** Called after each change of the copy. */
  onChanged: () => void
}

interface Entry<Record> {
  version: number
  versioned: Versioned<Record> | undefined
}

/**
 * @param options - decoder and listener
 * @returns an empty copy
 */
export function createRowCopy<Record> (options: RowCopyOptions<Record>): RowCopy<Record> {
  const entries = new Map<string, Entry<Record>>()
  let listedAtVersion: number | undefined

  const put = (row: StoredRow): void => {
    const id = rowId(row)
    const known = entries.get(id)
    if (known !== undefined && known.version >= row.version) return
    const record = options.decode(row)
    entries.set(id, { version: row.version, versioned: record === undefined ? undefined : { record, version: row.version } })
  }

  // The feed may tell of a removal after this process has written the row anew; the newer row stays.
  const remove = (key: RowKey, version: number): void => {
    const id = rowId(key)
    const known = entries.get(id)
    if (known !== undefined && known.version <= version) entries.delete(id)
  }

  return {
    get: key => entries.get(rowId(key))?.versioned,
    values: function * () {
      for (const { versioned } of entries.values()) if (versioned !== undefined) yield versioned
    },
    learn: row => {
      put(row)
      options.onChanged()
    },
    forget: (key, version) => {
      remove(key, version)
      options.onChanged()
    },
    onListing: (rows, version) => {
      const listed = new Set(rows.map(rowId))
      for (const [id, entry] of entries) if (!listed.has(id) && entry.version <= version) entries.delete(id)
      rows.forEach(put)
      listedAtVersion = version
      options.onChanged()
    },
    onChange: change => {
      if (change.change === 'put') put(change.row)
      else remove(change.key, change.version)
      options.onChanged()
    },
    listedAtVersion: () => listedAtVersion
  }
}

function rowId (key: RowKey): string {
  return `${key.partition}/${key.key}`
}
