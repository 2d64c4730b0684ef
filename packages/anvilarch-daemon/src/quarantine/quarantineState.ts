/** Pure state of the quarantine: its fingerprints, and which of them are stored in the table. */
import type { QuarantineRow } from './types'

/** A quarantined fingerprint. */
export interface QuarantineEntry {
  row: QuarantineRow
  /** Position in the order in which this gateway added its fingerprints. */
  sequence: number
  /** Whether the row is confirmed to be in the table. */
  stored: boolean
}

/** State of the quarantine. */
export interface QuarantineState {
  entries: ReadonlyMap<string, QuarantineEntry>
  lastSequence: number
}

/** Fingerprints beyond this number evict the oldest, so that a flood of crashing requests can't exhaust memory. */
export const MAX_ENTRIES = 10_000

/** State without any fingerprint. */
export const EMPTY_STATE: QuarantineState = { entries: new Map(), lastSequence: 0 }

/**
 * Adds a fingerprint. An existing row is replaced only by the stored one.
 *
 * @param state - current state
 * @param fingerprint - fingerprint of a request that crashed endpoints
 * @param row - its row
 * @param stored - whether the row is in the table
 * @returns the next state
 */
export function withFingerprint (state: QuarantineState, fingerprint: string, row: QuarantineRow, stored: boolean): QuarantineState {
  const existing = state.entries.get(fingerprint)
  if (existing !== undefined && (existing.stored || !stored)) return state
  const entries = new Map(state.entries)
  const lastSequence = existing === undefined ? state.lastSequence + 1 : state.lastSequence
  entries.set(fingerprint, { row, stored, sequence: existing?.sequence ?? lastSequence })
  if (entries.size > MAX_ENTRIES) entries.delete(entries.keys().next().value as string)
  return { entries, lastSequence }
}

/**
 * Removes expired fingerprints.
 *
 * @param state - current state
 * @param nowWallMs - current wall time
 * @param expiryMs - how long a fingerprint stays quarantined
 * @returns the next state, and the expired fingerprints whose rows are still in the table
 */
export function withoutExpired (state: QuarantineState, nowWallMs: number, expiryMs: number): { state: QuarantineState, expired: string[] } {
  const isExpired = ([, entry]: [string, QuarantineEntry]): boolean => nowWallMs - entry.row.addedAtMs >= expiryMs
  const all = [...state.entries]
  const expiredEntries = all.filter(isExpired)
  if (expiredEntries.length === 0) return { state, expired: [] }
  const entries = new Map(all.filter(pair => !isExpired(pair)))
  return { state: { ...state, entries }, expired: expiredEntries.filter(([, entry]) => entry.stored).map(([fingerprint]) => fingerprint) }
}

/**
 * @param state - current state
 * @returns fingerprints whose rows are not confirmed to be in the table
 */
export function unstoredRows (state: QuarantineState): Array<[string, QuarantineRow]> {
  return [...state.entries].filter(([, entry]) => !entry.stored).map(([fingerprint, entry]) => [fingerprint, entry.row])
}
