import { createRandom } from '../random'
import { mixHashes } from '../mixHashes'

const HASHES = Array.from({ length: 40 }, (_, index) => createRandom(index * 7919 + 1).between(0, 0x7ffffffe))

describe('mixHashes', () => {
  it('returns 32-bit integers, the same for the same pair', () => {
    for (const hash of HASHES) {
      const mixed = mixHashes(hash, HASHES[0])
      expect(Number.isInteger(mixed) && mixed >= 0 && mixed < 2 ** 32).toBe(true)
      expect(mixHashes(hash, HASHES[0])).toBe(mixed)
    }
  })

  it('ranks the same hashes differently for each other hash, and each one first about equally often', () => {
    const firsts = new Map<number, number>()
    const random = createRandom(5)
    for (let round = 0; round < 4000; round++) {
      const other = random.between(0, 0x7ffffffe)
      const weights = HASHES.map(hash => mixHashes(hash, other))
      const first = weights.indexOf(Math.max(...weights))
      firsts.set(first, (firsts.get(first) ?? 0) + 1)
    }
    // 100 times each on average; six standard deviations are 60.
    for (let index = 0; index < HASHES.length; index++) expect(Math.abs((firsts.get(index) ?? 0) - 100)).toBeLessThan(60)
  })
})
