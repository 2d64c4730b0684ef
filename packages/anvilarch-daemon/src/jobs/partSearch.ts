/**
 * The search for parts of one job that this gateway may lease. Each gateway begins at a part of its own and reads a few
 * rows at a time, so that gateways seldom race for a part; parts seen done are never read again.
 */
import { invariant } from 'anvilarch-utils'
import { countItems, createItemSet, hasItem, type ItemSet, withItems } from './itemSet'
import { isPartDone, type ItemCounts, type PartRow } from './rows'

/** Part rows read at once. */
export const SEARCH_PAGE_PARTS = 32

/** What is known of the parts of one job. */
export interface PartSearch {
  parts: number
  done: ItemSet
  /** Results in the parts that are done. */
  counts: ItemCounts
  /** Part at which the next read begins. */
  cursor: number
  /** Parts seen unfinished since one was last leased; a whole turn of them means that there is none to lease now. */
  unfinishedInPass: number
}

/** A part row as it was read; version 0 and no row when it was never leased. */
export interface PartReading {
  part: number
  version: number
  row: PartRow | undefined
}

/** Whether a holder's lease may be taken over. */
export type IsClaimable = (part: number, row: PartRow) => boolean

/** What a read showed. */
export interface SearchStep {
  search: PartSearch
  /** The first part that may be leased. */
  claimable?: PartReading
  /** No part can be leased now; worth another look after a while. */
  exhausted: boolean
  allDone: boolean
}

/**
 * @param parts - of the job
 * @param start - part to begin with
 * @returns search that knows nothing yet
 */
export function startSearch (parts: number, start: number): PartSearch {
  return { parts, done: createItemSet(parts), counts: { completed: 0, failed: 0 }, cursor: start % parts, unfinishedInPass: 0 }
}

/**
 * @param search - of a job
 * @returns parts to read next, from the cursor on, without those known to be done
 */
export function partsToRead (search: PartSearch): number[] {
  const parts: number[] = []
  for (let step = 0; step < search.parts && parts.length < SEARCH_PAGE_PARTS; step++) {
    const part = (search.cursor + step) % search.parts
    if (!hasItem(search.done, part)) parts.push(part)
  }
  return parts
}

/**
 * @param search - before the read
 * @param readings - rows of the parts that `partsToRead` named, in that order
 * @param isClaimable - judges the holder of a part
 * @returns search after the read and what may be leased
 */
export function afterPartsRead (search: PartSearch, readings: readonly PartReading[], isClaimable: IsClaimable): SearchStep {
  let next = search
  let unfinished = search.unfinishedInPass
  for (const reading of readings) {
    const cursor = (reading.part + 1) % search.parts
    if (reading.row !== undefined && isPartDone(reading.row)) {
      next = { ...withDonePart(next, reading.part, reading.row), cursor }
      continue
    }
    unfinished += 1
    next = { ...next, cursor }
    if (reading.row === undefined || isClaimable(reading.part, reading.row)) {
      return { search: { ...next, unfinishedInPass: 0 }, claimable: reading, exhausted: false, allDone: false }
    }
  }
  const allDone = isSearchDone(next)
  const open = next.parts - countItems(next.done)
  const exhausted = allDone || unfinished >= open
  return { search: { ...next, unfinishedInPass: exhausted ? 0 : unfinished }, exhausted, allDone }
}

/**
 * @param search - of a job
 * @param part - seen done
 * @param row - of the part
 * @returns search that knows of it
 */
export function withDonePart (search: PartSearch, part: number, row: PartRow): PartSearch {
  if (hasItem(search.done, part)) return search
  const counts = { completed: search.counts.completed + row.completed, failed: search.counts.failed + row.failed }
  return { ...search, done: withItems(search.done, [part]), counts }
}

/**
 * @param search - of a job
 * @returns whether all parts are known to be done
 */
export function isSearchDone (search: PartSearch): boolean {
  return countItems(search.done) === search.parts
}

/**
 * Asserts that the results of a job that is complete add up to its items.
 *
 * @param search - with all parts done
 * @param partItems - items of each part
 */
export function checkJobCounts (search: PartSearch, partItems: readonly number[]): void {
  const items = partItems.reduce((sum, count) => sum + count, 0)
  const results = search.counts.completed + search.counts.failed
  invariant(results === items, 'job_counts_match_items', () => `${results} results of ${items} items`)
}
