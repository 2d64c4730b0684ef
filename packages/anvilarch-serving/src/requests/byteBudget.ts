/** Limits the bytes that all requests of a process buffer together. */

/** Bytes that may be buffered. */
export interface ByteBudget {
  /** @returns whether the bytes may be buffered; they then count until they are released */
  tryTake: (bytes: number) => boolean
  release: (bytes: number) => void
  takenBytes: () => number
}

/**
 * @param limitBytes - limit on the bytes that are buffered at the same time
 * @returns a budget of which nothing is taken
 */
export function createByteBudget (limitBytes: number): ByteBudget {
  let takenBytes = 0
  return {
    tryTake: bytes => {
      if (takenBytes + bytes > limitBytes) return false
      takenBytes += bytes
      return true
    },
    release: bytes => { takenBytes -= bytes },
    takenBytes: () => takenBytes
  }
}
