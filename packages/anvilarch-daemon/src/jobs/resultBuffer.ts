/** Counts and bounds the results waiting for their commit, over all parts of a gateway, so that an outage does not exhaust memory. */

/** Options of `createResultBuffer`. */
export interface ResultBufferOptions {
  maxItems: number
  maxBytes: number
}

/** Enough for about half a minute of a busy gateway; a longer outage pauses batch work. */
export const DEFAULT_OPTIONS: ResultBufferOptions = { maxItems: 8_000, maxBytes: 16 * 1024 * 1024 }

/** Counts the waiting results. */
export interface ResultBuffer {
  add: (sizeBytes: number) => void
  remove: (sizeBytes: number) => void
  /** Whether no further item should be started. The results of items in progress still fit, since they are few compared to the bound. */
  isFull: () => boolean
  items: () => number
}

/**
 * @param options - bounds
 * @returns an empty buffer
 */
export function createResultBuffer (options: ResultBufferOptions = DEFAULT_OPTIONS): ResultBuffer {
  let items = 0
  let bytes = 0
  return {
    add: sizeBytes => {
      items += 1
      bytes += sizeBytes
    },
    remove: sizeBytes => {
      items -= 1
      bytes -= sizeBytes
    },
    isFull: () => items >= options.maxItems || bytes >= options.maxBytes,
    items: () => items
  }
}
