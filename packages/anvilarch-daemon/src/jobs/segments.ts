/** Pure functions that add result segments to a part row and assert the invariants of the row. */
import { invariant } from 'anvilarch-utils'
import { countItems, hasItem, itemSetFromText, itemSetToText, withItems } from './itemSet'
import { type PartRow, type ResultKind, type SegmentRef } from './rows'

/** A finished item. Its result line is buffered by the leased part until it is committed. */
export interface FinishedItem {
  index: number
  kind: ResultKind
  sizeBytes: number
}

const KINDS: readonly ResultKind[] = ['output', 'error']

/**
 * @param items - finished items that go into one commit
 * @param epoch - epoch of the part's lease
 * @param segment - number of the segment, unique within the epoch
 * @returns one reference for each kind of result among the items
 */
export function segmentRefs (items: readonly FinishedItem[], epoch: number, segment: number): SegmentRef[] {
  return KINDS.flatMap(kind => {
    const itemsOfKind = items.filter(item => item.kind === kind)
    if (itemsOfKind.length === 0) return []
    const sizeBytes = itemsOfKind.reduce((sum, item) => sum + item.sizeBytes, 0)
    return [{ epoch, segment, kind, items: itemsOfKind.length, sizeBytes }]
  })
}

/**
 * @param row - the part as committed
 * @param items - finished items to add
 * @param segments - references to the objects with their results
 * @returns the part with the items added
 */
export function withSegments (row: PartRow, items: readonly FinishedItem[], segments: readonly SegmentRef[]): PartRow {
  const done = itemSetFromText(row.done)
  const addedItems = new Set<number>()
  for (const { index } of items) {
    invariant(!hasItem(done, index) && !addedItems.has(index), 'item_has_one_result', () => `item ${index} has a result already`)
    invariant(index >= 0 && index < row.items, 'item_in_part', () => `item ${index} of a part of ${row.items}`)
    addedItems.add(index)
  }
  const failed = items.filter(item => item.kind === 'error').length
  const next: PartRow = {
    ...row,
    done: itemSetToText(withItems(done, [...addedItems])),
    completed: row.completed + items.length - failed,
    failed: row.failed + failed,
    segments: [...row.segments, ...segments]
  }
  checkPart(next)
  return next
}

/**
 * Asserts that counts, segments and finished items of a part row are consistent.
 *
 * @param row - the part
 * @throws InvariantViolation when they are not
 */
export function checkPart (row: PartRow): void {
  const finished = row.completed + row.failed
  const done = countItems(itemSetFromText(row.done))
  const inSegments = row.segments.reduce((sum, segment) => sum + segment.items, 0)
  const names = new Set(row.segments.map(segment => `${segment.epoch}-${segment.segment}-${segment.kind}`))
  invariant(done === finished, 'part_counts_match_items', () => `${done} items done, ${finished} counted`)
  invariant(inSegments === finished, 'segments_do_not_overlap', () => `${inSegments} results in segments, ${finished} counted`)
  invariant(names.size === row.segments.length, 'segments_do_not_overlap', () => 'a segment is listed twice')
  invariant(finished <= row.items, 'part_counts_fit', () => `${finished} of ${row.items} items`)
}
