/** The item lines of one chunk, located once and decoded only when an item is run. */
import { isBlankLine } from './itemLine'

const NEWLINE = 0x0a

/** Lines of a chunk by item index. */
export interface ChunkLines {
  count: number
  /** @returns the bytes of an item's line */
  line: (index: number) => Buffer
}

/**
 * @param chunk - content of a chunk object; blank lines are skipped
 * @returns its item lines
 */
export function chunkLines (chunk: Uint8Array): ChunkLines {
  const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
  const starts: number[] = []
  const ends: number[] = []
  for (let start = 0; start < bytes.length;) {
    const newline = bytes.indexOf(NEWLINE, start)
    const end = newline < 0 ? bytes.length : newline
    if (!isBlankLine(bytes.subarray(start, end))) {
      starts.push(start)
      ends.push(end)
    }
    start = end + 1
  }
  return { count: starts.length, line: index => bytes.subarray(starts[index], ends[index]) }
}
