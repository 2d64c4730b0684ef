/** Shares the recent software versions of each service through rows of the store, so that a gateway that has just started has them. */
import { type Clock, runInBackground, sleep } from 'anvilarch-utils'
import type { MetadataStore, StoredRow } from '../store/types'
import type { EventLog } from '../telemetry/events'
import type { VersionHistory } from './versionHistory'

/** Table with a row for each service that has had several versions. */
export const VERSION_TABLE = 'software-versions'

/** Value of a row, written at each change of the listed versions. */
interface VersionRow {
  listed: string[]
  /** Versions that were listed before, or are listed. */
  recent: string[]
  /** Store time of the change, in milliseconds. */
  changedAtMs: number
}

/** Exchange of recent versions through the store. */
export interface VersionRows {
  /** Adds versions that were listed before this process started. @returns whether the store has responded */
  load: () => Promise<boolean>
}

/** Options of `shareVersions`. */
export interface ShareVersionsOptions {
  store: MetadataStore
  clock: Clock
  log: EventLog
  history: VersionHistory
  retentionMs: () => number
  /** @returns whether this gateway is one of the few that write the row of the service */
  writes: (service: string) => boolean
  signal: AbortSignal
}

const PARTITION = ''

/** Pause before a row is written again. */
const WRITE_RETRY_MS = 300

/**
 * Writes a row at each change while a service has several versions. A service with one version has no row and costs no call.
 *
 * @param options - store, history and writers
 * @returns the exchange
 */
export function shareVersions (options: ShareVersionsOptions): VersionRows {
  const { store, clock, log, history, signal } = options
  const writing = new Set<string>()

  const tryWrite = async (service: string): Promise<boolean> => {
    const storeNowMs = store.storeNowMs()
    if (storeNowMs === undefined) return false
    const value: VersionRow = { listed: history.listed(service), recent: history.recent(service), changedAtMs: storeNowMs }
    const outcome = await store.commit({ conditions: [], puts: [{ table: VERSION_TABLE, partition: PARTITION, key: service, value: Buffer.from(JSON.stringify(value)) }], removes: [] })
    return outcome.outcome === 'committed'
  }

  const write = async (service: string): Promise<void> => {
    if (writing.has(service)) return
    writing.add(service)
    while (!signal.aborted) {
      const listed = history.listed(service).join()
      // The versions may change while the row is written.
      if (await tryWrite(service) && history.listed(service).join() === listed) break
      await sleep(clock, WRITE_RETRY_MS, signal)
    }
    writing.delete(service)
  }

  history.onChange(service => {
    if (history.recent(service).length > 1 && options.writes(service)) runInBackground(log, 'share software versions', () => write(service))
  })

  return {
    load: async () => {
      const read = await store.readRows({ table: VERSION_TABLE, partition: PARTITION })
      const storeNowMs = store.storeNowMs()
      if (read.err || storeNowMs === undefined) return false
      for (const row of read.val.rows) {
        const decoded = decodeRow(row)
        if (decoded === undefined) log.warn('row cannot be used', { table: VERSION_TABLE, key: row.key, field: '', reason: 'is no record of versions' })
        // A version that was listed at the last change may have been listed until just now.
        else history.onReported(row.key, storeNowMs - decoded.changedAtMs > options.retentionMs() ? decoded.listed : decoded.recent)
      }
      return true
    }
  }
}

function decodeRow (row: StoredRow): VersionRow | undefined {
  try {
    const value = JSON.parse(row.value.toString()) as Partial<VersionRow>
    if (!Array.isArray(value.listed) || !Array.isArray(value.recent) || typeof value.changedAtMs !== 'number') return undefined
    return { listed: value.listed, recent: [...new Set([...value.listed, ...value.recent])], changedAtMs: value.changedAtMs }
  } catch {
    // The caller logs the row.
    return undefined
  }
}
