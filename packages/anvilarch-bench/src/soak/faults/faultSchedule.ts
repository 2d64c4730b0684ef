/** Chooses the faults of a run from the seed: every kind once, in random order, before any repeats; every other round adds a second kind. */
import type { Random } from 'anvilarch-utils'
import type { FaultName } from './faultTable'

/** Every second round injects a pair. */
const ROUNDS_PER_PAIR = 2

/** Random sequence of faults. */
export interface FaultSchedule {
  /** @returns the kinds of faults that the next round injects together */
  next: () => FaultName[]
}

/**
 * @param names - kinds to choose from
 * @param random - determines the sequence
 * @returns the sequence of faults
 */
export function createFaultSchedule (names: readonly FaultName[], random: Random): FaultSchedule {
  let remaining: FaultName[] = []
  let round = 0
  const nextKind = (): FaultName => {
    if (remaining.length === 0) remaining = shuffle(names, random)
    return remaining.pop() as FaultName
  }
  const otherKind = (first: FaultName): FaultName[] => {
    const others = names.filter(name => name !== first)
    return others.length === 0 ? [] : [random.pick(others)]
  }
  return {
    next: () => {
      const first = nextKind()
      round++
      return round % ROUNDS_PER_PAIR === 0 ? [first, ...otherKind(first)] : [first]
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
