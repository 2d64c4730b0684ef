/** Splits a stream of bytes into lines, keeping at most one line in memory. */

const NEWLINE = 0x0a

/** Splits bytes into lines; each line keeps its newline. */
export interface LineSplitter {
  /** @returns the lines that end in the data; an incomplete line is returned as soon as it exceeds the bound */
  push: (data: Buffer) => Buffer[]
  /** @returns the last line, if it has no newline */
  finish: () => Buffer | undefined
}

/**
 * @param maxLineBytes - bound of the bytes buffered for one line
 * @returns a splitter without buffered data
 */
export function createLineSplitter (maxLineBytes: number): LineSplitter {
  let pieces: Buffer[] = []
  let pendingBytes = 0

  const takePending = (last: Buffer): Buffer => {
    const line = pieces.length === 0 ? last : Buffer.concat([...pieces, last])
    pieces = []
    pendingBytes = 0
    return line
  }

  return {
    push: data => {
      const lines: Buffer[] = []
      let start = 0
      for (let end = data.indexOf(NEWLINE); end >= 0; end = data.indexOf(NEWLINE, start)) {
        lines.push(takePending(data.subarray(start, end + 1)))
        start = end + 1
      }
      if (start < data.length) {
        pieces.push(data.subarray(start))
        pendingBytes += data.length - start
      }
      if (pendingBytes > maxLineBytes) lines.push(takePending(Buffer.alloc(0)))
      return lines
    },
    finish: () => pendingBytes === 0 ? undefined : takePending(Buffer.alloc(0))
  }
}
