/** Append-only output of one attempt, readable from any offset. */

const INITIAL_BYTES = 1024

/** Append-only byte buffer with a maximum size. */
export interface OutputBuffer {
  /** @returns false, without appending anything, if the maximum size would be exceeded */
  append: (data: Uint8Array) => boolean
  /** @returns up to `maxBytes` from `offset`, as a view that later appends do not modify */
  read: (offset: number, maxBytes: number) => Uint8Array
  sizeBytes: () => number
  /** Releases unused capacity. */
  trim: () => void
}

/**
 * @param maxBytes - maximum size
 * @returns an empty buffer
 */
export function createOutputBuffer (maxBytes: number): OutputBuffer {
  let bytes = new Uint8Array(0)
  let used = 0

  const grow = (needed: number): void => {
    const capacity = Math.min(maxBytes, Math.max(INITIAL_BYTES, bytes.length * 2, needed))
    const larger = new Uint8Array(capacity)
    larger.set(bytes.subarray(0, used))
    bytes = larger
  }

  return {
    append: data => {
      const needed = used + data.length
      if (needed > maxBytes) return false
      if (needed > bytes.length) grow(needed)
      bytes.set(data, used)
      used = needed
      return true
    },
    read: (offset, maxReadBytes) => bytes.subarray(offset, Math.min(used, offset + maxReadBytes)),
    sizeBytes: () => used,
    trim: () => { bytes = bytes.slice(0, used) }
  }
}
