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

function parseBlock (bytes: Buffer): EventBlock {
  let id: number | undefined
  const data: string[] = []
  for (const line of bytes.toString().split(/\r?\n/)) {
    const colon = line.indexOf(':')
    if (colon < 0) continue
    const field = line.slice(0, colon)
    const value = line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)
    if (field === 'id') id = toEventId(value)
    if (field === 'data') data.push(value)
  }
  return { bytes, id, data: data.join('\n') }
}

function toEventId (value: string): number | undefined {
  const id = Number(value)
  return Number.isInteger(id) ? id : undefined
}
