/** How long an entry of the list may still be used after it has begun to leave. Pure. */
import type { EndpointState } from '../model/types'

/** How far an entry has come. */
export interface EntryStatus {
  state: EndpointState
  /** Whether the store no longer lists it. */
  unlisted: boolean
  /** Local time at which the entry began to leave: it drains or is gone. */
  leavingSinceMs: number | undefined
  /** An entry that may only have lapsed counts as there until this local time. */
  retainedUntilMs: number | undefined
}

/** When the store last failed a call of this process. */
export interface StoreFailureTimes {
  lastFailureMs: () => number | undefined
  /** How long calls had failed, one after another, when the store last failed. */
  lastOutageMs: () => number
}

/** An endpoint that leaves is used as a last resort for this long. It serves for 2 s after the store has said so. */
export const LAST_RESORT_MS = 1000

/** An entry that goes this soon after a failed call may have lapsed: with the store back, it comes back within two seconds. */
export const EXPIRY_WINDOW_MS = 2200

/**
 * Entries lapse after three heartbeats of 1.2 s that cannot be written. A shorter outage, seen from here, lets none lapse;
 * a connection that was reset costs a call or two.
 */
export const MIN_EXPIRY_OUTAGE_MS = 800

/**
 * An entry that may have lapsed counts as there for this long. An endpoint that has really left must get nothing
 * 2 s after the store has said so; the rest is for the way of the word here and of the request there.
 */
export const EXPIRED_RETENTION_MS = 1700

/**
 * @param contact - how the store has answered this process
 * @param nowMs - local time
 * @returns whether an entry that goes now may be one whose heartbeat could not be written
 */
export function mayHaveExpired (contact: StoreFailureTimes, nowMs: number): boolean {
  const failedAtMs = contact.lastFailureMs()
  if (failedAtMs === undefined || nowMs - failedAtMs >= EXPIRY_WINDOW_MS) return false
  return contact.lastOutageMs() >= MIN_EXPIRY_OUTAGE_MS
}

/** @returns whether the endpoint takes new requests like any other */
export function acceptsRequests (life: EntryStatus, nowMs: number): boolean {
  if (!life.unlisted) return life.state === 'ready'
  return life.retainedUntilMs !== undefined && nowMs < life.retainedUntilMs
}

/** @returns whether an endpoint that leaves may be used while there is no other */
export function isLastResort (life: EntryStatus, nowMs: number): boolean {
  return life.leavingSinceMs !== undefined && nowMs - life.leavingSinceMs < LAST_RESORT_MS
}

/**
 * @param lives - all entries
 * @param nowMs - local time
 * @returns how long what follows from the entries stays the same if the list does not change, in milliseconds
 */
export function timeToNextChangeMs (lives: Iterable<EntryStatus>, nowMs: number): number {
  let nextMs = Infinity
  for (const life of lives) {
    if (life.retainedUntilMs !== undefined && life.retainedUntilMs > nowMs) nextMs = Math.min(nextMs, life.retainedUntilMs)
    if (isLastResort(life, nowMs) && life.leavingSinceMs !== undefined) nextMs = Math.min(nextMs, life.leavingSinceMs + LAST_RESORT_MS)
  }
  return nextMs - nowMs
}
