/** Keeps blocks of memory for further use, since the runtime collects those that are no longer used only after many of them. */

/** Free blocks. */
export interface BlockPool {
  /** @returns a block with any content */
  take: () => Buffer
  /** Takes back a block that nothing refers to any more. */
  give: (block: Buffer) => void
}

/** Size of each block. */
export const BLOCK_BYTES = 64 * 1024

/**
 * @param maxFreeBytes - limit of the free blocks
 * @returns a pool without blocks
 */
export function createBlockPool (maxFreeBytes: number): BlockPool {
  const free: Buffer[] = []
  const maxFree = Math.floor(maxFreeBytes / BLOCK_BYTES)
  return {
    take: () => free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES),
    give: block => { if (free.length < maxFree) free.push(block) }
  }
}
