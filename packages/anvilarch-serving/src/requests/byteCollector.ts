/** Collects the bytes of chunks. Memory grows with the bytes, and not with the number of chunks or the buffers that they are part of. */

/** Bytes in the order of their arrival. */
export interface ByteCollector {
  append: (chunk: Uint8Array) => void
  length: () => number
  /** @returns the collected bytes, in one buffer */
  bytes: () => Buffer
  clear: () => void
}

const MIN_BLOCK_BYTES = 512
const MAX_BLOCK_BYTES = 64 * 1024

/** @returns an empty collector */
export function createByteCollector (): ByteCollector {
  let blocks: Buffer[] = []
  let length = 0
  /** Unused bytes at the end of the last block. */
  let freeBytes = 0

  const addBlock = (minBytes: number): void => {
    const bytes = Math.max(minBytes, MIN_BLOCK_BYTES, Math.min(length, MAX_BLOCK_BYTES))
    blocks.push(Buffer.allocUnsafeSlow(bytes))
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
    bytes: () => blocks.length === 1 ? blocks[0].subarray(0, length) : Buffer.concat(blocks, length),
    clear: () => {
      blocks = []
      length = 0
      freeBytes = 0
    }
  }
}
