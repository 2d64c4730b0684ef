/** Measures which time is unusually long for a kind of work, whatever the distribution of the times. */

/** Longest of the last times. */
export interface RecentLongest {
  add: (elapsedMs: number) => void
  /** @returns the longest of the last 900 to 1,000 times; undefined until there are `MIN_SAMPLES` */
  longestMs: () => number | undefined
}

const BLOCK_SAMPLES = 100

/** While nothing changes, a time exceeds all of the `n` before it in one case of `n + 1`: with this many blocks, about one in a thousand does. */
const BLOCKS = 10

/** With fewer samples than this, more than one time in ten would seem unusual. */
const MIN_SAMPLES = 10

/** @returns a measurement without samples */
export function createRecentLongest (): RecentLongest {
  /** Longest time of each block, the newest last. */
  const blocks: number[] = []
  let samples = 0

  return {
    add: elapsedMs => {
      if (samples % BLOCK_SAMPLES === 0) blocks.push(elapsedMs)
      if (blocks.length > BLOCKS) blocks.shift()
      samples++
      blocks[blocks.length - 1] = Math.max(blocks[blocks.length - 1], elapsedMs)
    },
    longestMs: () => samples < MIN_SAMPLES ? undefined : Math.max(...blocks)
  }
}
