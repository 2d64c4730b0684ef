/** Splits a stream of server-sent events at event boundaries, so that a stream cut in the middle of an event loses only that event. */
import { createByteCollector } from 'anvilarch-utils'

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
  restLength: () => number
  /** Discards the bytes after the last complete block. No chunk may follow. */
  discardRest: () => void
}

const NEWLINE = 0x0a
const CARRIAGE_RETURN = 0x0d

const EVENT_ID_PATTERN = /^\d+$/

/** Size limit of an event, since incomplete events are buffered in memory. */
export const MAX_EVENT_BYTES = 4 * 1024 * 1024

/** @returns a splitter at the start of a stream */
export function createEventSplitter (): EventSplitter {
  const pending = createByteCollector()
  let openLine: OpenLine = 'none'

  const takeBlock = (end: Buffer): Buffer => {
    if (pending.length() === 0) return end
    pending.append(end)
    const bytes = pending.bytes()
    pending.clear()
    return bytes
  }

  return {
    push: chunk => {
      const blocks: EventBlock[] = []
      let rest = chunk
      for (;;) {
        const end = endOfBlock(rest, openLine)
        if (end < 0) break
        blocks.push(parseBlock(takeBlock(rest.subarray(0, end))))
        rest = rest.subarray(end)
        openLine = 'none'
      }
      if (rest.length > 0) {
        openLine = openLineAfter(rest, openLine)
        pending.append(rest)
      }
      if (pending.length() > MAX_EVENT_BYTES) throw new Error(`an event exceeds ${MAX_EVENT_BYTES} bytes`)
      return blocks
    },
    rest: pending.bytes,
    restLength: pending.length,
    discardRest: pending.clear
  }
}

/** How the bytes before a chunk end: an empty line begins after a line feed, and may contain a carriage return. */
type OpenLine = 'none' | 'empty' | 'carriage_return'

function openLineAfter (bytes: Buffer, before: OpenLine): OpenLine {
  const last = bytes[bytes.length - 1]
  if (last === NEWLINE) return 'empty'
  const follows = bytes.length > 1 ? bytes[bytes.length - 2] === NEWLINE : before === 'empty'
  return last === CARRIAGE_RETURN && follows ? 'carriage_return' : 'none'
}

/** @returns the offset after the empty line that closes the first block; -1 if there is none yet */
function endOfBlock (bytes: Buffer, openLine: OpenLine): number {
  if (openLine !== 'none' && bytes[0] === NEWLINE) return 1
  if (openLine === 'empty' && bytes[0] === CARRIAGE_RETURN && bytes[1] === NEWLINE) return 2
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
