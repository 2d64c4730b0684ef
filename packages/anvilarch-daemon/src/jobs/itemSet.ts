/** Sets of item indexes as bit sets, so that the size of a part row does not depend on the order in which its items finish. */

const BITS_PER_BYTE = 8

/** A set of item indexes below a fixed bound. */
export type ItemSet = Uint8Array

/**
 * @param itemCount - exclusive upper bound of the indexes
 * @returns an empty set
 */
export function createItemSet (itemCount: number): ItemSet {
  return new Uint8Array(Math.ceil(itemCount / BITS_PER_BYTE))
}

/**
 * @param set - set to test
 * @param index - index of an item
 * @returns whether the set contains the index
 */
export function hasItem (set: ItemSet, index: number): boolean {
  return ((set[index >> 3] ?? 0) & (1 << (index & 7))) !== 0
}

/**
 * @param set - set to copy
 * @param indexes - indexes to add
 * @returns a copy of the set with the indexes added
 */
export function withItems (set: ItemSet, indexes: readonly number[]): ItemSet {
  const next = Uint8Array.from(set)
  for (const index of indexes) next[index >> 3] |= 1 << (index & 7)
  return next
}

/**
 * @param set - set to count
 * @returns number of indexes in the set
 */
export function countItems (set: ItemSet): number {
  let count = 0
  for (let byte of set) {
    for (; byte !== 0; byte &= byte - 1) count++
  }
  return count
}

/**
 * @param set - set to encode
 * @returns the set in base64
 */
export function itemSetToText (set: ItemSet): string {
  return Buffer.from(set).toString('base64')
}

/**
 * @param text - as written by `itemSetToText`
 * @returns the set
 */
export function itemSetFromText (text: string): ItemSet {
  return new Uint8Array(Buffer.from(text, 'base64'))
}
