/** Bookkeeping of the result segments of one part: pure, and checked against what must always hold. */
import { invariant } from 'anvilarch-utils'
import { countItems, hasItem, itemSetFromText, itemSetToText, withItems } from './itemSet'
import { type PartRow, type ResultKind, type SegmentRef } from './rows'

/** A finished item; its line of results is kept by the task that runs the part. */
export interface FinishedItem {
  index: number
  kind: ResultKind
  sizeBytes: number
}

const KINDS: readonly ResultKind[] = ['output', 'error']

/**
 * @param items - finished items that go into one commit
 * @param epoch - of the part's lease
 * @param segment - number of the segment, used once under an epoch
 * @returns one reference for each kind that has items
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
 * @param segments - the objects that hold their results
 * @returns the part with the items added
 */
export function withSegments (row: PartRow, items: readonly FinishedItem[], segments: readonly SegmentRef[]): PartRow {
  const done = itemSetFromText(row.done)
  const seen = new Set<number>()
  for (const { index } of items) {
    invariant(!hasItem(done, index) && !seen.has(index), 'item_has_one_result', () => `item ${index} has a result already`)
    invariant(index >= 0 && index < row.items, 'item_in_part', () => `item ${index} of a part of ${row.items}`)
    seen.add(index)
  }
  const failed = items.filter(item => item.kind === 'error').length
  const next: PartRow = {
    ...row,
    done: itemSetToText(withItems(done, [...seen])),
    completed: row.completed + items.length - failed,
    failed: row.failed + failed,
    segments: [...row.segments, ...segments]
  }
  checkPart(next)
  return next
}

/**
 * Asserts that counts, segments and finished items of a part agree.
 *
 * @param row - the part
 * @throws InvariantViolation when they do not
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
