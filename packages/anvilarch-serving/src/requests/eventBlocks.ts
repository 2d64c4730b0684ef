/** Splits a stream of events at event boundaries, so that a stream cut in the middle of an event loses only that event. */

/** One whole event with the bytes that carried it. */
export interface EventBlock {
  /** Bytes of the event, its closing empty line included. */
  bytes: Buffer
  /** Undefined when the event carries no id. */
  id: number | undefined
  data: string
}

/** Collects bytes into events. */
export interface EventSplitter {
  push: (chunk: Buffer) => EventBlock[]
  /** @returns bytes after the last whole event */
  rest: () => Buffer
}

const NEWLINE = 0x0a
const CARRIAGE_RETURN = 0x0d

const EVENT_ID_PATTERN = /^\d+$/

/** An event larger than this is no event; a stream of them would fill the memory. */
export const MAX_EVENT_BYTES = 4 * 1024 * 1024

/** @returns a splitter at the start of a stream */
export function createEventSplitter (): EventSplitter {
  let pending: Buffer = Buffer.alloc(0)
  return {
    push: chunk => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const blocks: EventBlock[] = []
      for (;;) {
        const end = endOfEvent(pending)
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

/** @returns the offset after the empty line that closes the first event; -1 when there is none yet */
function endOfEvent (bytes: Buffer): number {
  let from = 0
  for (;;) {
    const newline = bytes.indexOf(NEWLINE, from)
    if (newline < 0 || newline + 1 >= bytes.length) return -1
    if (bytes[newline + 1] === NEWLINE) return newline + 2
    if (bytes[newline + 1] === CARRIAGE_RETURN && bytes[newline + 2] === NEWLINE) return newline + 3
    from = newline + 1
  }
}

/** @returns whether a block is no event, but holds comments or the time to reconnect after */
export function holdsNoEvent (block: EventBlock): boolean {
  const lines = block.bytes.toString('latin1').split('\n')
  return lines.every(line => line === '' || line === '\r' || line.startsWith(':') || line.startsWith('retry:'))
}

function parseBlock (bytes: Buffer): EventBlock {
  let id: number | undefined
  let data: string | undefined
  const text = bytes.toString()
  // Each event of each stream comes through here: lines are cut out by hand, without arrays and expressions.
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

/** One space after the colon does not belong to the value. */
function fieldValue (text: string, from: number, to: number): string {
  return text.slice(text[from] === ' ' ? from + 1 : from, to)
}

function toEventId (value: string): number | undefined {
  return EVENT_ID_PATTERN.test(value) ? Number(value) : undefined
}
