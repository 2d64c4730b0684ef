/** Seeded random numbers, so that runs with the same seed are reproducible. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

/** A source of random numbers. */
export interface Random {
  /** @returns a number in [0, 1) */
  next: () => number
  /** @returns an integer in [from, to], both included */
  between: (from: number, to: number) => number
  /** @returns a random item */
  pick: <Item>(items: readonly Item[]) => Item
  /** @returns a random duration, uniformly distributed over `durationMs` plus or minus `share` of it */
  jitter: (durationMs: number, share: number) => number
}

const RESOLUTION = 0x7fffffff

/**
 * @param seed - seed that determines the sequence of numbers
 * @returns a random source
 */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed | 0)
  const between = (from: number, to: number): number => unsafeUniformIntDistribution(from, to, generator)
  const next = (): number => between(0, RESOLUTION - 1) / RESOLUTION
  return {
    next,
    between,
    pick: items => items[between(0, items.length - 1)],
    jitter: (durationMs, share) => durationMs * (1 + share * (2 * next() - 1))
  }
}

/** @returns a seed that differs between processes */
export function processSeed (): number {
  return Math.floor(Math.random() * RESOLUTION)
}
