/** Collects the bytes of chunks. Memory grows with the bytes, and not with the number of chunks or the buffers that they are part of. */

import { BLOCK_BYTES, type BlockPool } from './blockPool'

/** Bytes in the order of their arrival. */
export interface ByteCollector {
  append: (chunk: Uint8Array) => void
  length: () => number
  /** @returns the collected bytes, in one buffer */
  bytes: () => Buffer
  clear: () => void
}

const MIN_BLOCK_BYTES = 512

/**
 * @param pool - source of blocks of the largest size
 * @returns an empty collector
 */
export function createByteCollector (pool?: BlockPool): ByteCollector {
  let blocks: Buffer[] = []
  /** Whether a block has become the bytes that were returned. */
  let isShared = false
  let length = 0
  /** Unused bytes at the end of the last block. */
  let freeBytes = 0

  const addBlock = (minBytes: number): void => {
    const bytes = Math.max(minBytes, MIN_BLOCK_BYTES, Math.min(length, BLOCK_BYTES))
    blocks.push(bytes === BLOCK_BYTES && pool !== undefined ? pool.take() : Buffer.allocUnsafeSlow(bytes))
    freeBytes = bytes
  }

  const appendTo = (block: Buffer, chunk: Uint8Array): void => {
    block.set(chunk, block.length - freeBytes)
    freeBytes -= chunk.length
    length += chunk.length
  }

  return {
    append: chunk => {
      const fitting = chunk.subarray(0, freeBytes)
      if (fitting.length > 0) appendTo(blocks[blocks.length - 1], fitting)
      const rest = chunk.subarray(fitting.length)
      if (rest.length === 0) return
      addBlock(rest.length)
      appendTo(blocks[blocks.length - 1], rest)
    },
    length: () => length,
    bytes: () => {
      if (blocks.length !== 1) return Buffer.concat(blocks, length)
      isShared = true
      return blocks[0].subarray(0, length)
    },
    clear: () => {
      if (!isShared) for (const block of blocks) if (block.length === BLOCK_BYTES) pool?.give(block)
      isShared = false
      blocks = []
      length = 0
      freeBytes = 0
    }
  }
}
