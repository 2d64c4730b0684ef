/** Combines hashes of texts, where each of many is paired with each of many others. */

/**
 * Hashing each pair of texts costs as much as the texts are long; two numbers are combined in some nanoseconds. The steps are the
 * last ones of MurmurHash3, after which each bit of the input changes each bit of the result with even chance.
 *
 * @param one - hash of 32 bits
 * @param other - hash of 32 bits
 * @returns a hash of 32 bits; for a fixed hash, different others give different results
 */
export function mixHashes (one: number, other: number): number {
  let mixed = one ^ other
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
