/** Shares suspects between gateways through rows of the store, since any gateway may receive the same request. */
import { runInBackground } from 'anvilarch-utils'
import type { Result } from 'ts-results'
import { decodeChecked, isCount, isStoreTimeMs, isString, listOf, optional, type RecordChecks, type RowProblem } from '../store/rowValues'
import { NO_REPORTS, type UnusableRows } from '../store/unusableRows'
import type { RowKey, StoredRow } from '../store/types'
import type { RoleContext } from '../roles/types'
import type { TableListener } from '../store/tableFollower'
import { SUSPECT_RETENTION_MS, type SuspectRecord, type SuspectTable } from './suspectTable'

/** Table of requests that were in progress at crashes. */
export const SUSPECT_TABLE = 'suspects'

/** Rows in one transaction, which holds at most 100 entries including conditions. */
const ROWS_PER_COMMIT = 45

/** Attempts to write a record. Each conflict means that another gateway has just written the same record. */
const MAX_WRITE_ATTEMPTS = 5

/** Exchange of suspects with other gateways. */
export interface SharedSuspects {
  /** Receives the rows of all gateways. */
  listener: TableListener
  /** Writes records of this gateway. A record that cannot be written remains local to this gateway. */
  publish: (records: readonly SuspectRecord[]) => void
  /** Counts a trial of a quarantined part in its row. @returns whether no other gateway has claimed this trial */
  claimTrial: (record: SuspectRecord) => Promise<boolean>
  /** Removes the row of a request or part that has turned out to be sound. */
  clear: (record: SuspectRecord) => Promise<void>
}

/**
 * @param context - store and log
 * @param suspects - suspects known to this gateway
 * @param unusable - receives rows that contain no record
 * @returns the exchange with other gateways
 */
export function shareSuspects (context: Pick<RoleContext, 'store' | 'log'>, suspects: SuspectTable, unusable: UnusableRows = NO_REPORTS): SharedSuspects {
  const { store, log } = context
  const versions = new Map<string, number>()

  const mergeRow = (row: StoredRow): void => {
    versions.set(row.key, row.version)
    const decoded = decodeSuspect(row)
    if (decoded.ok) suspects.merge(decoded.val)
    else unusable.report(row, decoded.val)
  }

  const write = async (records: readonly SuspectRecord[]): Promise<void> => {
    let pending = [...records]
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS && pending.length > 0; attempt++) {
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
      // A row that another gateway has removed is missing in the response.
      for (const record of pending) versions.delete(record.fingerprint)
      outcome.rows.forEach(mergeRow)
      pending = pending.map(record => suspects.merge(record))
    }
    log.warn('suspects not shared', { recordCount: pending.length })
  }

  const claimTrial = async (record: SuspectRecord): Promise<boolean> => {
    const claimed = { ...record, trials: (record.trials ?? 0) + 1 }
    const outcome = await store.commit({
      conditions: [{ ...suspectKey(record.fingerprint), version: versions.get(record.fingerprint) ?? 0 }],
      puts: [{ ...suspectKey(record.fingerprint), value: Buffer.from(JSON.stringify(claimed)) }],
      removes: []
    })
    if (outcome.outcome === 'conflict') outcome.rows.forEach(mergeRow)
    if (outcome.outcome !== 'committed') return false
    versions.set(record.fingerprint, outcome.version)
    suspects.merge(claimed)
    log.warn('quarantined part tried again', { part: record.fingerprint, trials: claimed.trials })
    return true
  }

  const clear = async (record: SuspectRecord): Promise<void> => {
    const outcome = await store.commit({ conditions: [], puts: [], removes: [suspectKey(record.fingerprint)] })
    versions.delete(record.fingerprint)
    log.info('suspect cleared', { fingerprint: record.fingerprint, shared: outcome.outcome === 'committed' })
  }

  return {
    claimTrial,
    clear,
    listener: {
      onListing: rows => {
        versions.clear()
        rows.forEach(mergeRow)
        runInBackground(log, 'remove old suspects', () => removeExpired(store, rows))
      },
      onChange: change => {
        if (change.change === 'put') mergeRow(change.row)
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

const SUSPECT_CHECKS: RecordChecks<Omit<SuspectRecord, 'fingerprint'>> = {
  crashedStarts: listOf(isString),
  lastCrashAtMs: isStoreTimeMs,
  requests: optional(listOf(isString)),
  trials: optional(isCount)
}

/** @returns the record, or why the row contains none */
function decodeSuspect (row: StoredRow): Result<SuspectRecord, RowProblem> {
  return decodeChecked(row.value, SUSPECT_CHECKS).map(record => ({ ...record, fingerprint: row.key }))
}

/** Removes rows past their retention. Each gateway does this after listing the table; rows that another gateway has already removed are harmless. */
async function removeExpired (store: RoleContext['store'], rows: readonly StoredRow[]): Promise<void> {
  const nowMs = store.storeNowMs()
  if (nowMs === undefined) return
  const lastCrashAtMs = (row: StoredRow): number => decodeSuspect(row).map(record => record.lastCrashAtMs).unwrapOr(0)
  const expired = rows.filter(row => nowMs - lastCrashAtMs(row) > SUSPECT_RETENTION_MS).slice(0, ROWS_PER_COMMIT)
  if (expired.length > 0) await store.commit({ conditions: [], puts: [], removes: expired.map(row => suspectKey(row.key)) })
}
