/** The prefix cache of an engine: prompt blocks of fixed size, evicted in least-recently-used order. */

/** Cached blocks by chained hash, the least recently used first. */
export interface PrefixCache {
  blocks: Set<number>
  maxBlocks: number
}

/** A change of the cache, published later as an event. */
export interface CacheChange {
  type: 'stored' | 'removed'
  block: number
}

/**
 * @param maxBlocks - capacity in blocks
 * @returns an empty cache
 */
export function createPrefixCache (maxBlocks: number): PrefixCache {
  return { blocks: new Set(), maxBlocks }
}

/**
 * @param cache - the cache
 * @param blocks - chained hashes of the blocks of a prompt
 * @returns the number of leading blocks that are cached
 */
export function countCachedPrefix (cache: PrefixCache, blocks: number[]): number {
  const miss = blocks.findIndex(block => !cache.blocks.has(block))
  return miss === -1 ? blocks.length : miss
}

/**
 * Stores the blocks of a prompt, or marks them as used.
 *
 * @param cache - the cache
 * @param blocks - chained hashes of the blocks
 * @returns what changed
 */
export function storeBlocks (cache: PrefixCache, blocks: number[]): CacheChange[] {
  const changes: CacheChange[] = []
  // Stored from the last block to the first, so that the last ones are evicted first: a prefix without its end can be used, but
  // not an end without its prefix.
  for (let index = blocks.length - 1; index >= 0; index--) {
    const block = blocks[index]
    if (!cache.blocks.delete(block)) changes.push({ type: 'stored', block })
    cache.blocks.add(block)
  }
  while (cache.blocks.size > cache.maxBlocks) {
    const oldest = cache.blocks.values().next().value as number
    cache.blocks.delete(oldest)
    changes.push({ type: 'removed', block: oldest })
  }
  return changes
}
