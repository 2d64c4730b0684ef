/** Splits a stream of server-sent events at event boundaries, so that a stream cut in the middle of an event loses only that event. */

/** One complete block of a stream and its bytes. A block is an event, or holds only comments and `retry` fields. */
export interface EventBlock {
  /** Bytes of the block, including its closing empty line. */
  bytes: Buffer
  /** Undefined if the block has no numeric id. */
  id: number | undefined
  data: string
}

/** Splits bytes into blocks. */
export interface EventSplitter {
  push: (chunk: Buffer) => EventBlock[]
  /** @returns the bytes after the last complete block */
  rest: () => Buffer
}

const NEWLINE = 0x0a
const CARRIAGE_RETURN = 0x0d

const EVENT_ID_PATTERN = /^\d+$/

/** Size limit of an event, since incomplete events are buffered in memory. */
export const MAX_EVENT_BYTES = 4 * 1024 * 1024

/** @returns a splitter at the start of a stream */
export function createEventSplitter (): EventSplitter {
  let pending: Buffer = Buffer.alloc(0)
  return {
    push: chunk => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const blocks: EventBlock[] = []
      for (;;) {
        const end = endOfBlock(pending)
        if (end < 0) break
        blocks.push(parseBlock(pending.subarray(0, end)))
        pending = pending.subarray(end)
      }
      if (pending.length > MAX_EVENT_BYTES) throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`)
      return blocks
    },
    rest: () => pending
  }
}

/** @returns the offset after the empty line that closes the first block; -1 if there is none yet */
function endOfBlock (bytes: Buffer): number {
  let from = 0
  for (;;) {
    const newline = bytes.indexOf(NEWLINE, from)
    if (newline < 0 || newline + 1 >= bytes.length) return -1
    if (bytes[newline + 1] === NEWLINE) return newline + 2
    if (bytes[newline + 1] === CARRIAGE_RETURN && bytes[newline + 2] === NEWLINE) return newline + 3
    from = newline + 1
  }
}

/** @returns whether a block is not an event but holds only comments or `retry` fields */
export function holdsNoEvent (block: EventBlock): boolean {
  const lines = block.bytes.toString('latin1').split('\n')
  return lines.every(line => line === '' || line === '\r' || line.startsWith(':') || line.startsWith('retry:'))
}

function parseBlock (bytes: Buffer): EventBlock {
  let id: number | undefined
  let data: string | undefined
  const text = bytes.toString()
  // This runs for each event of each stream, so lines are parsed without arrays and regular expressions.
  for (let start = 0; start < text.length;) {
    const newline = text.indexOf('\n', start)
    const end = newline < 0 ? text.length : newline
    const lineEnd = text[end - 1] === '\r' ? end - 1 : end
    if (text.startsWith('id:', start)) id = toEventId(fieldValue(text, start + 'id:'.length, lineEnd))
    else if (text.startsWith('data:', start)) {
      const value = fieldValue(text, start + 'data:'.length, lineEnd)
      data = data === undefined ? value : `${data}\n${value}`
    }
    start = end + 1
  }
  return { bytes, id, data: data ?? '' }
}

/** @returns the value of a field, without one leading space */
function fieldValue (text: string, from: number, to: number): string {
  return text.slice(text[from] === ' ' ? from + 1 : from, to)
}

function toEventId (value: string): number | undefined {
  return EVENT_ID_PATTERN.test(value) ? Number(value) : undefined
}
