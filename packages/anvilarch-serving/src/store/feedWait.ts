/** How long the feed of a table may wait at the store. */

/** Longer waits save few calls. */
const MAX_FEED_WAIT_MS = 2000

/** Shorter waits would make the feed of a calm table a poll. */
const MIN_FEED_WAIT_MS = 250

/** For the pause after a call that was given up, the next call, and taking what it brings. */
const CATCH_UP_MS = 500

/** What the wait follows from. */
export interface FeedWaitOptions {
  /** How long after the end of an outage a host counts as out of contact. */
  contactMs: number
  /** How long a call is waited for beyond the wait that it asks for. */
  callTimeoutMs: number
}

/**
 * An outage may swallow a call that was sent just before its end. That call is given up early enough for the next one to bring
 * all changes while the host still counts as out of contact.
 *
 * @param bounds - of the deployment and of the client
 * @returns how long one call asks the store to wait, in milliseconds
 */
export function feedWaitMs ({ contactMs, callTimeoutMs }: FeedWaitOptions): number {
  return Math.min(MAX_FEED_WAIT_MS, Math.max(MIN_FEED_WAIT_MS, contactMs - callTimeoutMs - CATCH_UP_MS))
}
