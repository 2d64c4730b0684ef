/** Parses the responses on a connection of a client. */

/** Head of a response. */
export interface ResponseHead {
  status: number
  /** By lower-case name. */
  headers: Map<string, string>
}

/** Receives what the parser finds. */
export interface ResponseHandlers {
  onHead: (head: ResponseHead) => void
  onBody: (bytes: Buffer) => void
  onComplete: () => void
}

/** Parser of one connection. */
export interface ResponseParser {
  feed: (bytes: Buffer) => void
  /** The connection has ended, which completes a body without a length. */
  finish: () => void
}

/** What the parser reads next. `chunk`: the bytes of a chunk and its line end. */
type Part = 'head' | 'body' | 'chunk_size' | 'chunk' | 'trailer' | 'until_end'

const HEAD_END = '\r\n\r\n'
const LINE_END = '\r\n'

/** @returns a parser at the start of a response */
export function createResponseParser ({ onHead, onBody, onComplete }: ResponseHandlers): ResponseParser {
  let buffered = Buffer.alloc(0)
  let part: Part = 'head'
  let left = 0

  const take = (length: number): Buffer => {
    const taken = buffered.subarray(0, length)
    buffered = buffered.subarray(length)
    return taken
  }
  const takeUntil = (end: string): string | undefined => {
    const at = buffered.indexOf(end)
    return at < 0 ? undefined : take(at + end.length).toString('latin1')
  }
  const complete = (): boolean => {
    part = 'head'
    onComplete()
    return true
  }
  const pass = (length: number): boolean => {
    const bytes = take(Math.min(length, buffered.length))
    left -= bytes.length
    if (bytes.length > 0) onBody(bytes)
    return bytes.length > 0
  }

  /** Each returns whether it has made progress. */
  const readers: Record<Part, () => boolean> = {
    head: () => {
      const text = takeUntil(HEAD_END)
      if (text === undefined) return false
      const head = parseHead(text)
      if (head.status < 200) return true
      left = Number(head.headers.get('content-length') ?? 0)
      part = head.headers.get('transfer-encoding') === 'chunked' ? 'chunk_size' : head.headers.has('content-length') ? 'body' : 'until_end'
      onHead(head)
      return part === 'body' && left === 0 ? complete() : true
    },
    body: () => pass(left) && (left > 0 || complete()),
    chunk_size: () => {
      const line = takeUntil(LINE_END)
      if (line === undefined) return false
      left = parseInt(line, 16)
      part = left === 0 ? 'trailer' : 'chunk'
      return true
    },
    chunk: () => {
      if (left > 0) return pass(left)
      if (buffered.length < LINE_END.length) return false
      take(LINE_END.length)
      part = 'chunk_size'
      return true
    },
    trailer: () => takeUntil(LINE_END) !== undefined && complete(),
    until_end: () => pass(buffered.length)
  }
  return {
    feed: bytes => {
      buffered = Buffer.concat([buffered, bytes])
      while (buffered.length > 0 && readers[part]());
    },
    finish: () => { if (part === 'until_end') complete() }
  }
}

function parseHead (text: string): ResponseHead {
  const [statusLine, ...lines] = text.trimEnd().split(LINE_END)
  const headers = lines.map(line => {
    const colon = line.indexOf(':')
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const
  })
  return { status: Number(statusLine.split(' ')[1]), headers: new Map(headers) }
}
