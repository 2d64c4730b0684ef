/** Combines the hashes of two texts, where many texts are each paired with many others. */

/**
 * Combining two hashes takes a few nanoseconds, whereas the cost of hashing each pair of texts grows with their length. The steps
 * are the finalizer of MurmurHash3, after which each bit of the input changes each bit of the result with a probability of 0.5.
 *
 * @param one - 32-bit hash
 * @param other - 32-bit hash
 * @returns a 32-bit hash; for a fixed `one`, different values of `other` give different results
 */
export function mixHashes (one: number, other: number): number {
  let mixed = one ^ other
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
