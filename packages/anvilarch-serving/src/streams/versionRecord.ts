/** The record of the software versions of a service at which streams may have begun. Pure. */
import type { Result } from 'ts-results'
import { decodeChecked, isStoreTimeMs, isString, listOf, optional, type RecordChecks, type RowProblem } from '../store/rowValues'

/** Record of a service, shared by all gateways. */
export interface VersionRecord {
  /** Versions that were listed at the last change. */
  listed: string[]
  /** Versions that were listed within the retention before the last change, those listed then included. */
  recent: string[]
  /** Store time of the change, in milliseconds. */
  changedAtMs: number
  /** Store time since which the record names every version at which a stream has begun; `undefined` if it is not known. */
  completeSinceMs: number | undefined
}

/** Versions as a gateway with a fresh list of endpoints knows them. */
export interface OwnVersions {
  listed: readonly string[]
  recent: readonly string[]
  /** Store time since which the gateway has followed the list without a gap. */
  followedSinceMs: number
  /** Whether the fleet starts for the first time, so that no stream has begun before. */
  isFirstStart: boolean
}

/** Store time before any stream began. */
const SINCE_EVER_MS = Number.MIN_SAFE_INTEGER

const VERSION_CHECKS: RecordChecks<VersionRecord> = {
  listed: listOf(isString),
  recent: listOf(isString),
  changedAtMs: isStoreTimeMs,
  completeSinceMs: optional(isStoreTimeMs)
}

/**
 * @param record - the record
 * @param storeNowMs - current store time
 * @param retentionMs - how long a version matters after it was last listed
 * @returns versions that may have been listed within the retention
 */
export function recentVersions (record: VersionRecord, storeNowMs: number, retentionMs: number): string[] {
  return storeNowMs - record.changedAtMs > retentionMs ? record.listed : record.recent
}

/**
 * @param own - what the writing gateway knows
 * @param stored - the record in the store
 * @param storeNowMs - current store time
 * @param retentionMs - how long a version matters after it was last listed
 * @returns the next record. A gateway that has followed the list for the retention replaces what is recorded; others add to it,
 *   since versions may have been listed before they started
 */
export function nextRecord (own: OwnVersions, stored: VersionRecord | undefined, storeNowMs: number, retentionMs: number): VersionRecord {
  const isComplete = storeNowMs - own.followedSinceMs > retentionMs
  const former = stored === undefined || isComplete ? [] : recentVersions(stored, storeNowMs, retentionMs)
  return {
    listed: [...own.listed],
    recent: [...new Set([...own.listed, ...own.recent, ...former])],
    changedAtMs: storeNowMs,
    completeSinceMs: own.isFirstStart && stored === undefined ? SINCE_EVER_MS : Math.min(own.followedSinceMs, stored?.completeSinceMs ?? Infinity)
  }
}

/**
 * @param record - the record
 * @param listed - versions that are listed now
 * @returns whether the record names exactly these versions as listed
 */
export function isCurrent (record: VersionRecord, listed: readonly string[]): boolean {
  return record.listed.length === listed.length && listed.every(version => record.listed.includes(version))
}

/** @returns the bytes of a row */
export function encodeVersionRecord (record: VersionRecord): Buffer {
  return Buffer.from(JSON.stringify(record))
}

/** @returns the record, or why the bytes do not describe one. Rows of an older version do not say since when they are complete */
export function decodeVersionRecord (bytes: Buffer): Result<VersionRecord, RowProblem> {
  return decodeChecked(bytes, VERSION_CHECKS).map(({ listed, recent, changedAtMs, completeSinceMs }) =>
    ({ listed, recent: [...new Set([...listed, ...recent])], changedAtMs, completeSinceMs }))
}
