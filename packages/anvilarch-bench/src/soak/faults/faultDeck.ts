/** Chooses the faults of a run from the seed: every kind once, in random order, before any repeats; every other round adds a second kind. */
import type { Random } from 'anvilarch-utils'
import type { FaultName } from './faultTable'

/** Every second round injects a pair. */
const ROUNDS_PER_PAIR = 2

/** Random sequence of faults. */
export interface FaultDeck {
  /** @returns the kinds of faults that the next round injects together */
  next: () => FaultName[]
}

/**
 * @param names - kinds to choose from
 * @param random - determines the sequence
 * @returns the sequence of faults
 */
export function createFaultDeck (names: readonly FaultName[], random: Random): FaultDeck {
  let deck: FaultName[] = []
  let round = 0
  const drawOne = (): FaultName => {
    if (deck.length === 0) deck = shuffle(names, random)
    return deck.pop() as FaultName
  }
  const drawOther = (first: FaultName): FaultName[] => {
    const others = names.filter(name => name !== first)
    return others.length === 0 ? [] : [random.pick(others)]
  }
  return {
    next: () => {
      const first = drawOne()
      round++
      return round % ROUNDS_PER_PAIR === 0 ? [first, ...drawOther(first)] : [first]
    }
  }
}

function shuffle<Item> (items: readonly Item[], random: Random): Item[] {
  const shuffled = [...items]
  for (let last = shuffled.length - 1; last > 0; last--) {
    const other = random.between(0, last);
    [shuffled[last], shuffled[other]] = [shuffled[other], shuffled[last]]
  }
  return shuffled
}
