/** Random sources that a run derives from its seed. */
import { createRandom, type Random } from 'anvilarch-utils'

/** The first numbers of sources with different seeds are alike. */
const SKIPPED_NUMBERS = 16

/** @returns a random source whose numbers differ from those of other seeds from the first one on */
export function createDerivedRandom (seed: number): Random {
  const random = createRandom(seed)
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) random.next()
  return random
}
