/** Decides whether an endpoint may still be used after it has started to drain or is no longer listed. Pure. */
import type { EndpointState } from '../model/types'

/** State of an entry in the table of endpoints. */
export interface EntryStatus {
  state: EndpointState
  /** Whether the store no longer lists the entry. */
  unlisted: boolean
  /** Local time at which the endpoint started to drain or became unlisted, whichever was first. */
  leavingSinceMs: number | undefined
  /** An unlisted entry that may only have expired counts as listed until this local time. */
  retainedUntilMs: number | undefined
}

/** When calls of this process to the store last failed. */
export interface StoreFailureTimes {
  lastFailureMs: () => number | undefined
  /** Duration of the latest series of consecutive failures, from its first to its last failed call. */
  lastOutageMs: () => number
}

/** How long a draining or unlisted endpoint is used as a last resort. It serves for 2 s after the change in the store. */
export const LAST_RESORT_MS = 1000

/**
 * An entry that becomes unlisted this soon after a failed call may have expired in a store outage: once the store is back,
 * the endpoint is listed again within two seconds.
 */
export const EXPIRY_WINDOW_MS = 2200

/**
 * Shortest outage, as measured by this process, in which entries can expire: they expire after three heartbeats of 1.2 s that
 * cannot be written. A connection reset fails only a call or two and must not count.
 */
export const MIN_EXPIRY_OUTAGE_MS = 800

/**
 * How long an entry that may have expired counts as listed. An endpoint that was in fact removed must receive nothing 2 s after
 * the store has removed it; the difference covers the delay of the store's feed and of the request.
 */
export const EXPIRED_RETENTION_MS = 1700

/**
 * @param failureTimes - recent failures of the store
 * @param nowMs - local time
 * @returns whether an entry that becomes unlisted now may have expired because its heartbeat could not be written
 */
export function mayHaveExpired (failureTimes: StoreFailureTimes, nowMs: number): boolean {
  const failedAtMs = failureTimes.lastFailureMs()
  if (failedAtMs === undefined || nowMs - failedAtMs >= EXPIRY_WINDOW_MS) return false
  return failureTimes.lastOutageMs() >= MIN_EXPIRY_OUTAGE_MS
}

/** @returns whether the endpoint accepts new requests like any other */
export function acceptsRequests (entry: EntryStatus, nowMs: number): boolean {
  if (!entry.unlisted) return entry.state === 'ready'
  return entry.retainedUntilMs !== undefined && nowMs < entry.retainedUntilMs
}

/** @returns whether a draining or unlisted endpoint may be used if there is no other */
export function isLastResort (entry: EntryStatus, nowMs: number): boolean {
  return entry.leavingSinceMs !== undefined && nowMs - entry.leavingSinceMs < LAST_RESORT_MS
}

/**
 * @param entries - all entries
 * @param nowMs - local time
 * @returns time until the result of `acceptsRequests` or `isLastResort` may change for an entry without a change of the list, in
 *   milliseconds; `Infinity` if it does not change
 */
export function timeToNextChangeMs (entries: Iterable<EntryStatus>, nowMs: number): number {
  let nextMs = Infinity
  for (const entry of entries) {
    if (entry.retainedUntilMs !== undefined && entry.retainedUntilMs > nowMs) nextMs = Math.min(nextMs, entry.retainedUntilMs)
    if (isLastResort(entry, nowMs) && entry.leavingSinceMs !== undefined) nextMs = Math.min(nextMs, entry.leavingSinceMs + LAST_RESORT_MS)
  }
  return nextMs - nowMs
}
