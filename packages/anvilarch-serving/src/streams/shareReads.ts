/** Shares a read of the store among concurrent requests, since many streams break at once when a gateway is lost. */
import { ageMs, type Clock, type Moment, momentNow } from 'anvilarch-utils'
import { MAX_FRESH_LIST_AGE_MS } from './versionHistory'

interface SharedRead {
  sentAt: Moment
  hasResponded: Promise<boolean>
}

/**
 * @param clock - local clock
 * @param read - sends the read. @returns whether the store has responded
 * @returns a function that joins the read in progress, unless it was sent too long ago to be fresh for the caller
 */
export function shareReads (clock: Clock, read: () => Promise<boolean>): () => Promise<boolean> {
  let current: SharedRead | undefined

  const start = (): SharedRead => {
    const started: SharedRead = {
      sentAt: momentNow(clock),
      hasResponded: read().finally(() => { if (current === started) current = undefined })
    }
    return started
  }

  return async () => {
    if (current === undefined || ageMs(clock, current.sentAt) > MAX_FRESH_LIST_AGE_MS) current = start()
    return await current.hasResponded
  }
}
