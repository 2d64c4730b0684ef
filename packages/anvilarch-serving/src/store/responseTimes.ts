/** Determines when the store made a response. It may be read much later, after a network delay or a pause of this process. Free of I/O. */
import type { Moment } from 'anvilarch-utils'

/** A response of the store. */
export interface TimedResponse {
  /** Store time in the response; undefined if it has none. */
  storeMs: number | undefined
  sentAt: Moment
  readAt: Moment
}

/** Times of the responses to one process. */
export interface ResponseTimes {
  /** @returns the earliest local time at which the store can have made the response */
  madeAt: (response: TimedResponse) => Moment
}

/** Greatest difference between the store's clock and a local one that builds up between two responses. */
const MAX_DRIFT_MS = 50

/** Greatest lead that the store's clock may have over a local one. */
interface LeadBound {
  /** @returns age of the response when it was read, at most; undefined if the local clock was stopped or set, so that the bound does not hold */
  ageMs: (response: LocalTimes) => number | undefined
  record: (storeMs: number, madeAtMs: number) => void
}

/** Times of a response by the store's clock and one local clock. */
interface LocalTimes {
  storeMs: number
  sentAtMs: number
  readAtMs: number
}

/**
 * A call is sent before the store makes its response, which bounds the lead of the store's clock over a local one. With the least
 * bound of all calls, the store time in a response bounds the time at which it was made, also that of a long poll.
 *
 * @returns times, none known
 */
export function createResponseTimes (): ResponseTimes {
  const monotonic = createLeadBound()
  const wall = createLeadBound()
  return {
    madeAt: ({ storeMs, sentAt, readAt }) => {
      if (storeMs === undefined) return sentAt
      const monotonicAgeMs = monotonic.ageMs({ storeMs, sentAtMs: sentAt.monotonicMs, readAtMs: readAt.monotonicMs })
      const wallAgeMs = wall.ageMs({ storeMs, sentAtMs: sentAt.wallMs, readAtMs: readAt.wallMs })
      const madeAt = {
        monotonicMs: readAt.monotonicMs - (monotonicAgeMs ?? wallAgeMs ?? readAt.monotonicMs - sentAt.monotonicMs),
        wallMs: readAt.wallMs - (wallAgeMs ?? monotonicAgeMs ?? readAt.wallMs - sentAt.wallMs)
      }
      monotonic.record(storeMs, madeAt.monotonicMs)
      wall.record(storeMs, madeAt.wallMs)
      return madeAt
    }
  }
}

function createLeadBound (): LeadBound {
  let maxLeadMs = Infinity
  return {
    ageMs: ({ storeMs, sentAtMs, readAtMs }) => {
      const madeAtMs = Math.max(sentAtMs, storeMs - maxLeadMs)
      return madeAtMs - readAtMs > MAX_DRIFT_MS ? undefined : Math.max(0, readAtMs - madeAtMs)
    },
    record: (storeMs, madeAtMs) => { maxLeadMs = storeMs - madeAtMs }
  }
}
