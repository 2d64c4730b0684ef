/** Shares the recent software versions of each service through rows of the store, so that a gateway that has just started has them. */
import { type Clock, runInBackground, sleep } from 'anvilarch-utils'
import type { MetadataStore, StoredRow } from '../store/types'
import type { UnusableRows } from '../store/unusableRows'
import type { EventLog } from '../telemetry/events'
import { shareReads } from './shareReads'
import type { VersionHistory } from './versionHistory'
import { decodeVersionRecord, encodeVersionRecord, isCurrent, nextRecord, type OwnVersions, recentVersions, type VersionRecord } from './versionRecord'

/** Table with a row for each service that has had endpoints. */
export const VERSION_TABLE = 'software-versions'

/** Exchange of recent versions through the store. */
export interface VersionRows {
  /** Adds the versions that other gateways have recorded, by a read that was sent within the age of a fresh list. @returns whether the store has responded */
  load: () => Promise<boolean>
  /** @returns local time as of which the rows were last loaded; `-Infinity` before the first load */
  loadedAtMs: () => number
  /** @returns whether the service's row has named every version at which a stream has begun for the whole retention, as of the last load or write */
  coversRetention: (service: string) => boolean
}

/** Options of `shareVersions`. */
export interface ShareVersionsOptions {
  store: MetadataStore
  clock: Clock
  log: EventLog
  /** Receives rows that contain no record. */
  unusable: UnusableRows
  history: VersionHistory
  retentionMs: () => number
  /** @returns local time since which the list of endpoints has been followed without a gap; undefined before the first listing */
  followedSinceMs: () => number | undefined
  /** Whether the fleet starts for the first time, so that no stream has begun before. */
  isFirstStart: boolean
  /** @returns whether the list is recent enough to say which versions are listed */
  isListFresh: () => boolean
  /** @returns whether this gateway is one of the few that write the row of the service first */
  writes: (service: string) => boolean
  signal: AbortSignal
}

const PARTITION = ''

/** Pause before a row is written again. */
const WRITE_RETRY_MS = 300

/** Time after which a gateway writes a row that the first writers should have written. A new version is settled later than that. */
const SECOND_WRITER_DELAY_MS = 400

interface KnownRow {
  /** Undefined if the row cannot be used. */
  record: VersionRecord | undefined
  version: number
}

/**
 * Writes a row at each change of the listed versions. New streams begin only at versions that a row names, so that the loss of all
 * gateways leaves no stream behind whose version is in no row.
 *
 * @param options - store, history and writers
 * @returns the exchange
 */
export function shareVersions (options: ShareVersionsOptions): VersionRows {
  const { store, clock, log, history, unusable, signal } = options
  const writing = new Set<string>()
  const rows = new Map<string, KnownRow>()
  let loadedAtMs = -Infinity

  const applyRow = (row: StoredRow, storeNowMs: number): void => {
    const decoded = decodeVersionRecord(row.value)
    if ((rows.get(row.key)?.version ?? 0) > row.version) return
    if (decoded.err) {
      unusable.report(row, decoded.val)
      // The next record replaces the row.
      rows.set(row.key, { record: undefined, version: row.version })
      return
    }
    const record = decoded.val
    rows.set(row.key, { record, version: row.version })
    history.onReported(row.key, recentVersions(record, storeNowMs, options.retentionMs()))
  }

  const read = async (): Promise<boolean> => {
    const sentAtMs = clock.nowMs()
    const result = await store.readRows({ table: VERSION_TABLE, partition: PARTITION })
    const storeNowMs = store.storeNowMs()
    if (result.err || storeNowMs === undefined) return false
    for (const row of result.val.rows) applyRow(row, storeNowMs)
    loadedAtMs = Math.max(loadedAtMs, sentAtMs)
    return true
  }

  const load = shareReads(clock, read)

  const isRecorded = (service: string, version: string): boolean => rows.get(service)?.record?.recent.includes(version) === true

  const tryWrite = async (service: string): Promise<void> => {
    const storeNowMs = store.storeNowMs()
    const followedSinceMs = options.followedSinceMs()
    if (storeNowMs === undefined || followedSinceMs === undefined || !options.isListFresh()) return
    const known = rows.get(service)
    const own: OwnVersions = {
      listed: history.listed(service),
      recent: history.recent(service),
      followedSinceMs: storeNowMs - (clock.nowMs() - followedSinceMs),
      // A row that cannot be used may have named versions.
      isFirstStart: options.isFirstStart && known === undefined
    }
    const record = nextRecord(own, known?.record, storeNowMs, options.retentionMs())
    const key = { table: VERSION_TABLE, partition: PARTITION, key: service }
    const outcome = await store.commit({ conditions: [{ ...key, version: known?.version ?? 0 }], puts: [{ ...key, value: encodeVersionRecord(record) }], removes: [] })
    if (outcome.outcome === 'committed') rows.set(service, { record, version: outcome.version })
    else if (outcome.outcome === 'conflict') outcome.rows.forEach(row => applyRow(row, storeNowMs))
  }

  const isWritten = (service: string): boolean => {
    const record = rows.get(service)?.record
    const listed = history.listed(service)
    if (record === undefined) return listed.length === 0
    return options.writes(service) ? isCurrent(record, listed) : listed.every(version => isRecorded(service, version))
  }

  const write = async (service: string): Promise<void> => {
    if (writing.has(service)) return
    writing.add(service)
    // Rows are read first, as those of the time before this start are to be added to.
    while (!signal.aborted && !await load()) await sleep(clock, WRITE_RETRY_MS, signal)
    if (!options.writes(service) && !isWritten(service)) {
      await sleep(clock, SECOND_WRITER_DELAY_MS, signal)
      await load()
    }
    while (!signal.aborted && !isWritten(service)) {
      await tryWrite(service)
      if (!isWritten(service)) await sleep(clock, WRITE_RETRY_MS, signal)
    }
    writing.delete(service)
  }

  history.requireRecords(isRecorded)
  history.onChange(service => { runInBackground(log, 'share software versions', () => write(service)) })

  return {
    load,
    loadedAtMs: () => loadedAtMs,
    coversRetention: service => {
      const storeNowMs = store.storeNowMs()
      const completeSinceMs = rows.get(service)?.record?.completeSinceMs
      // No stream has begun at a service that has neither a row nor an endpoint.
      if (!rows.has(service)) return history.recent(service).length === 0
      return storeNowMs !== undefined && completeSinceMs !== undefined && storeNowMs - completeSinceMs > options.retentionMs()
    }
  }
}
