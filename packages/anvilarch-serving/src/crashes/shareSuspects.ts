/** Shares suspects between gateways by rows of the store, since the same request may come to any of them. */
import { runInBackground } from 'anvilarch-utils'
import type { RowKey, StoredRow } from '../store/types'
import type { RoleContext } from '../roles/types'
import type { TableListener } from '../store/tableFollower'
import { SUSPECT_RETENTION_MS, type SuspectRecord, type SuspectTable } from './suspectTable'

/** Rows of requests that were in progress at crashes. */
export const SUSPECT_TABLE = 'suspects'

/** A transaction holds at most 100 entries, conditions included. */
const ROWS_PER_COMMIT = 45

/** Tries of one record. Each conflict means that another gateway has just written the same one. */
const MAX_TRIES = 5

/** Suspects that this gateway tells to others and hears of from them. */
export interface SharedSuspects {
  /** Hears of the rows of all gateways. */
  listener: TableListener
  /** Writes what this gateway has seen; a record that cannot be written stays known here alone. */
  publish: (records: readonly SuspectRecord[]) => void
}

/**
 * @param context - store and log
 * @param suspects - what this gateway knows
 * @returns the sharing
 */
export function shareSuspects (context: Pick<RoleContext, 'store' | 'log'>, suspects: SuspectTable): SharedSuspects {
  const { store, log } = context
  const versions = new Map<string, number>()

  const takeRow = (row: StoredRow): void => {
    versions.set(row.key, row.version)
    const record = decodeSuspect(row)
    if (record !== undefined) suspects.merge(record)
  }

  const write = async (records: readonly SuspectRecord[]): Promise<void> => {
    let pending = [...records]
    for (let tries = 0; tries < MAX_TRIES && pending.length > 0; tries++) {
      const outcome = await store.commit({
        conditions: pending.map(record => ({ ...suspectKey(record.fingerprint), version: versions.get(record.fingerprint) ?? 0 })),
        puts: pending.map(record => ({ ...suspectKey(record.fingerprint), value: Buffer.from(JSON.stringify(record)) })),
        removes: []
      })
      if (outcome.outcome === 'committed') {
        for (const record of pending) versions.set(record.fingerprint, outcome.version)
        return
      }
      if (outcome.outcome !== 'conflict') break
      outcome.rows.forEach(takeRow)
      pending = pending.map(record => suspects.merge(record))
    }
    log.warn('suspects not shared', { recordCount: pending.length })
  }

  return {
    listener: {
      onListing: rows => {
        versions.clear()
        rows.forEach(takeRow)
        runInBackground(log, 'remove old suspects', () => removeOld(store, rows))
      },
      onChange: change => {
        if (change.change === 'put') takeRow(change.row)
        else {
          versions.delete(change.key.key)
          suspects.remove(change.key.key)
        }
      }
    },
    publish: records => {
      for (const record of records) {
        log.warn('request in progress at a crash', { fingerprint: record.fingerprint, crashCount: record.crashedStarts.length, endpoint: record.crashedStarts.at(-1) ?? '' })
      }
      for (let from = 0; from < records.length; from += ROWS_PER_COMMIT) {
        runInBackground(log, 'share suspects', () => write(records.slice(from, from + ROWS_PER_COMMIT)))
      }
    }
  }
}

function suspectKey (fingerprint: string): RowKey {
  return { table: SUSPECT_TABLE, partition: '', key: fingerprint }
}

/** @returns the record; undefined when the bytes are not of this program */
function decodeSuspect (row: StoredRow): SuspectRecord | undefined {
  try {
    const record = JSON.parse(row.value.toString()) as SuspectRecord
    return Array.isArray(record.crashedStarts) && typeof record.lastCrashAtMs === 'number' ? { ...record, fingerprint: row.key } : undefined
  } catch {
    // Whatever wrote it, it says nothing about a request.
    return undefined
  }
}

/** Every gateway does so when it starts; a row that another one has removed already is no loss. */
async function removeOld (store: RoleContext['store'], rows: readonly StoredRow[]): Promise<void> {
  const nowMs = store.storeNowMs()
  if (nowMs === undefined) return
  const old = rows.filter(row => nowMs - (decodeSuspect(row)?.lastCrashAtMs ?? 0) > SUSPECT_RETENTION_MS).slice(0, ROWS_PER_COMMIT)
  if (old.length > 0) await store.commit({ conditions: [], puts: [], removes: old.map(row => suspectKey(row.key)) })
}
