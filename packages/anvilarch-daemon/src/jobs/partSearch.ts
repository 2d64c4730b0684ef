/**
 * Searches the parts of one job for parts that this gateway may claim. Each gateway starts at a part of its own and reads a
 * few rows at a time, so that gateways seldom race for the same part. Parts that were found done are not read again.
 */
import { invariant } from 'anvilarch-utils'
import { countItems, createItemSet, hasItem, type ItemSet, withItems } from './itemSet'
import { isPartDone, type ItemCounts, type PartRow } from './rows'

/** Most part rows of one read. */
export const SEARCH_PAGE_PARTS = 32

/** Progress of the search in one job. */
export interface PartSearch {
  parts: number
  done: ItemSet
  /** Results of the parts that are done. */
  counts: ItemCounts
  /** Part at which the next read starts. */
  cursor: number
  /** Unfinished parts read since the last claimable one. When it reaches all unfinished parts, none is claimable now. */
  unfinishedInPass: number
}

/** A part row as read; version 0 and no row when the part was never claimed. */
export interface PartReading {
  part: number
  version: number
  row: PartRow | undefined
}

/** Returns whether a part with a row may be claimed, for example since its holder is dead. */
export type IsClaimable = (part: number, row: PartRow) => boolean

/** Result of a read. */
export interface SearchStep {
  search: PartSearch
  /** The first part that may be claimed. */
  claimable?: PartReading
  /** No part can be claimed now; the search is worth repeating later. */
  exhausted: boolean
  allDone: boolean
}

/**
 * @param parts - number of parts of the job
 * @param start - part to start at, taken modulo the number of parts
 * @returns search without any part read
 */
export function startSearch (parts: number, start: number): PartSearch {
  return { parts, done: createItemSet(parts), counts: { completed: 0, failed: 0 }, cursor: start % parts, unfinishedInPass: 0 }
}

/**
 * @param search - search in a job
 * @returns parts to read next, from the cursor on, without those that are done
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
 * @param search - search before the read
 * @param readings - rows of the parts returned by `partsToRead`, in that order
 * @param isClaimable - decides by the holder of a part
 * @returns search after the read and the part that may be claimed
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
 * @param search - search in a job
 * @param part - part that is done
 * @param row - row of the part
 * @returns search with the part recorded as done
 */
export function withDonePart (search: PartSearch, part: number, row: PartRow): PartSearch {
  if (hasItem(search.done, part)) return search
  const counts = { completed: search.counts.completed + row.completed, failed: search.counts.failed + row.failed }
  return { ...search, done: withItems(search.done, [part]), counts }
}

/**
 * @param search - search in a job
 * @returns whether all parts are recorded as done
 */
export function isSearchDone (search: PartSearch): boolean {
  return countItems(search.done) === search.parts
}

/**
 * Asserts that a complete job has as many results as items.
 *
 * @param search - search with all parts done
 * @param partItems - number of items in each part
 */
export function checkJobCounts (search: PartSearch, partItems: readonly number[]): void {
  const items = partItems.reduce((sum, count) => sum + count, 0)
  const results = search.counts.completed + search.counts.failed
  invariant(results === items, 'job_counts_match_items', () => `${results} results of ${items} items`)
}
