/** Computes the wait of the long polls that read the feed of a table. */

/** Longest wait. Longer ones would save few calls. */
const MAX_FEED_WAIT_MS = 2000

/** Shortest wait. With shorter ones, the feed of a table without changes would degrade to polling. */
const MIN_FEED_WAIT_MS = 250

/** Time for the pause after a call that timed out, for the next call, and for applying its changes. */
const CATCH_UP_MS = 500

/** Options of `feedWaitMs`. */
export interface FeedWaitOptions {
  /** Time after the end of an outage in which a host still counts as out of contact. */
  contactMs: number
  /** Timeout of a call beyond the wait that it requests. */
  callTimeoutMs: number
}

/**
 * Computes the wait of a feed call. An outage may lose a call that was sent just before its end. With this wait, the call times out
 * early enough for the next one to fetch all changes while the host still counts as out of contact.
 *
 * @param options - times of the deployment and of the client
 * @returns wait that one call requests from the store, in milliseconds
 */
export function feedWaitMs ({ contactMs, callTimeoutMs }: FeedWaitOptions): number {
  return Math.min(MAX_FEED_WAIT_MS, Math.max(MIN_FEED_WAIT_MS, contactMs - callTimeoutMs - CATCH_UP_MS))
}
