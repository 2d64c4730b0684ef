/** Tracks how old the local copy of a followed table is, and since when it has missed nothing. */
import { ageMs, type Clock, type Moment } from 'anvilarch-utils'

/** A response of the store about a followed table. */
export interface TableResponse {
  /** The earliest time at which the store can have made it. */
  madeAt: Moment
  /** Whether it holds all changes since the response before. */
  isContinuous: boolean
}

/** Age of the local copy of a table. */
export interface TableFreshness {
  /** Records a response. Called before its rows are applied. */
  onResponse: (response: TableResponse) => void
  /** Records that rows were written and removed of which the content was missed. */
  onMissedRows: () => void
  /** @returns time since the store made the last response, with the time for which this host was suspended; `Infinity` before the first */
  ageMs: () => number
  /** @returns local time at which the store made the last response; undefined before the first */
  answeredAtMs: () => number | undefined
  /** @returns local time since which the table has been followed without a gap; undefined before the first response */
  followedSinceMs: () => number | undefined
  /** @returns whether the next response is overdue, so that this process may have missed changes */
  isOverdue: () => boolean
}

/** Longest delay of a feed response after the end of its long poll while the store and the network work normally. */
const OVERDUE_MS = 500

/**
 * @param clock - local clock
 * @param waitMs - wait of one long poll of the feed
 * @returns the age of a table of which there has been no response
 */
export function createTableFreshness (clock: Clock, waitMs: number): TableFreshness {
  let madeAt: Moment | undefined
  let followedSinceMs: number | undefined

  const currentAgeMs = (): number => madeAt === undefined ? Infinity : ageMs(clock, madeAt)
  const isOverdue = (): boolean => currentAgeMs() > waitMs + OVERDUE_MS

  return {
    onResponse: response => {
      // The feed names rows that were written and removed in a gap, but no longer has their content.
      if (!response.isContinuous || isOverdue()) followedSinceMs = clock.nowMs()
      madeAt = response.madeAt
    },
    onMissedRows: () => { followedSinceMs = clock.nowMs() },
    ageMs: currentAgeMs,
    answeredAtMs: () => madeAt?.monotonicMs,
    followedSinceMs: () => followedSinceMs,
    isOverdue
  }
}
