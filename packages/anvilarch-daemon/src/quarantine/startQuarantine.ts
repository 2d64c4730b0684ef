/** Synchronizes the quarantine of this gateway with the rows of the table. */
import { randomUUID } from 'node:crypto'
import { ROW_KEYS, type Row } from 'anvilarch-protocol'
import { type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { createUnusableRowLog, isCount, isString, readRowValue, type RowChecks } from '../platform/readRowValue'
import { withFingerprint, withoutExpired, EMPTY_STATE, unstoredRows } from './quarantineState'
import type { QuarantineLog, QuarantineRow } from './types'

/** Options of `startQuarantine`. */
export interface QuarantineOptions {
  /** How long a fingerprint stays quarantined. */
  expiryMs: number
}

/** One day: by then the fault behind a crash is fixed, or the request is no longer sent. */
export const DEFAULT_OPTIONS: QuarantineOptions = { expiryMs: 24 * 3600 * 1000 }

const ROW_CHECKS: RowChecks<QuarantineRow> = { reason: isString, addedBy: isString, addedAtMs: isCount }

/** Rows per page of a scan. */
const SCAN_PAGE_ROWS = 500
/** Maximum number of rows written by one commit. */
const MAX_COMMIT_ROWS = 100
/** Jitter of the poll interval as a share, so that gateways do not scan at the same time. */
const SCAN_JITTER = 0.2

/**
 * Starts polling the table for quarantined fingerprints.
 *
 * @param context - shared parts of the daemon
 * @param lifecycle - stops the polling
 * @param options - expiry
 * @returns the quarantine; its first scan may still be in progress
 */
export async function startQuarantine (
  context: DaemonContext, lifecycle: LifecycleManager, options: QuarantineOptions = DEFAULT_OPTIONS
): Promise<QuarantineLog> {
  const { clock, logger, platform, settings, timeline } = context
  const stopping = new AbortController()
  let wake = new AbortController()
  let state = EMPTY_STATE
  let loop: Promise<void> | undefined
  const reportUnusable = createUnusableRowLog(logger)

  const writeUnstored = async (): Promise<void> => {
    const rows = unstoredRows(state).slice(0, MAX_COMMIT_ROWS)
    if (rows.length === 0) return
    // All gateways write equivalent rows, so the last write may win; a condition would only cost a retry.
    const writes = rows.map(([fingerprint, row]) => ({ key: ROW_KEYS.suspect(fingerprint), value: JSON.stringify(row) }))
    await platform.table.commit({ commitId: randomUUID(), conditions: [], writes }, stopping.signal)
    for (const [fingerprint, row] of rows) state = withFingerprint(state, fingerprint, row, true)
  }

  const readAllRows = async (): Promise<void> => {
    let after: string | undefined
    do {
      const page = await platform.table.scan(ROW_KEYS.suspects, { after, limit: SCAN_PAGE_ROWS }, stopping.signal)
      for (const row of page.rows) addRow(row)
      after = page.next
    } while (after !== undefined)
  }

  const addRow = (row: Row): void => {
    const fingerprint = row.key.slice(ROW_KEYS.suspects.length)
    const value = readRowValue(row, ROW_CHECKS)
    if (value === undefined) {
      reportUnusable(row)
      return
    }
    if (!state.entries.has(fingerprint)) timeline.record('quarantine.learned', { detail: { fingerprint, addedBy: value.addedBy } })
    state = withFingerprint(state, fingerprint, value, true)
  }

  /** Uses the wall clock, since a row outlives every process; clock skew only shifts the end of a quarantine. */
  const removeExpired = async (): Promise<void> => {
    const result = withoutExpired(state, clock.wallMs(), options.expiryMs)
    state = result.state
    if (result.expired.length === 0) return
    const writes = result.expired.map(fingerprint => ({ key: ROW_KEYS.suspect(fingerprint), value: null }))
    await platform.table.commit({ commitId: randomUUID(), conditions: [], writes }, stopping.signal)
  }

  const poll = async (): Promise<void> => {
    try {
      await writeUnstored()
      await readAllRows()
      await removeExpired()
    } catch (error) {
      if (!stopping.signal.aborted) logger.debug('quarantine rows were not read or written', { error: String(error) })
    }
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      wake = new AbortController()
      await poll()
      await sleep(clock, context.random.jitter(settings.gateway.pollIntervalMs, SCAN_JITTER), wake.signal)
    }
  }

  await lifecycle.start({
    name: 'quarantine',
    start: () => { loop = run() },
    stop: async () => {
      stopping.abort()
      wake.abort()
      await loop
    }
  })

  return {
    has: fingerprint => state.entries.has(fingerprint),
    add: (fingerprint, reason) => {
      if (state.entries.has(fingerprint)) return
      const row: QuarantineRow = { reason, addedBy: settings.name, addedAtMs: clock.wallMs() }
      state = withFingerprint(state, fingerprint, row, false)
      timeline.record('quarantine.added', { detail: { fingerprint, reason } })
      logger.warn('a request that crashes endpoints is quarantined', { fingerprint, reason })
      wake.abort()
    },
    list: () => [...state.entries.keys()],
    addedSince: sequence => ({
      fingerprints: [...state.entries].filter(([, entry]) => entry.sequence > sequence).map(([fingerprint]) => fingerprint),
      sequence: state.lastSequence
    })
  }
}
