/** A model engine on a fake clock whose runs go wrong as a script says. */
import type { FakeClock } from 'anvilarch-utils'
import type { Pool } from 'undici'

/**
 * How a run goes wrong; `atEvent` counts the events of the run, from 0. `from_start`: does not go on after the event that it
 * was asked to, but starts anew. `no_stream`: a whole body that holds no event. `empty`: a whole answer without an event, given
 * to runs from the start only, since it is right for one that goes on after the last event. `silent`: goes on when it has been
 * given up. `fail_twice`: 500, and once more on a kept connection, as if it were the answer to the next run of the item.
 */
export type RunFault =
  | { trouble: 'none' | 'from_start' | 'of_another' | 'no_stream' | 'empty' | 'fail_twice' }
  | { trouble: 'status', status: number }
  | { trouble: 'break' | 'silent' | 'without_id' | 'skip' | 'cut', atEvent: number }

/** The engine. */
export interface ScriptedEngine {
  pool: Pool
  /** Connections that each take one run. */
  freshPool: Pool
  running: () => number
  /** Breaks all connections; the next start bears another time. */
  restart: () => void
  bornAtMs: () => number
}

/** What an engine needs. */
export interface ScriptedEngineOptions {
  clock: FakeClock
  eventIntervalMs: number
  eventCount: (itemId: string) => number
  /** Asked once for each run. */
  nextFault: () => RunFault
  /** Carries what the engine sends to the process that reads it. */
  toReader: (action: () => void) => void
  /** Told of each answer to a run that is not a stream, repeated ones left out. */
  onStatus: (itemId: string, status: number) => void
}

/** Also of answers that hold no event: the type alone is not to tell them. */
const EVENT_STREAM_TYPE = 'text/event-stream'

interface Handler {
  onConnect: (abort: () => void) => void
  onHeaders: (status: number, rawHeaders: Buffer[]) => void
  onData: (chunk: Buffer) => void
  onComplete: () => void
  onError: (error: Error) => void
}

/** Longer than a runner waits for an event. */
const SILENT_MS = 4000

const FAILED_STATUS = 500

const LINE_BREAK_EVERY = 3
const EMPTY_EVERY = 7

/** @returns data of an event: some hold a line break, some are empty */
export function dataOf (itemId: string, eventId: number): string {
  if (eventId % EMPTY_EVERY === 0) return ''
  return eventId % LINE_BREAK_EVERY === 0 ? `${itemId}.${eventId}\nnext line` : `${itemId}.${eventId}`
}

/** @returns the whole output of an item */
export function wholeTextOf (itemId: string, eventCount: number): string {
  return Array.from({ length: eventCount }, (_, index) => dataOf(itemId, index + 1)).join('\n')
}

function eventBytes (itemId: string, eventId: number, withId: boolean): Buffer {
  const data = dataOf(itemId, eventId).split('\n').map(line => `data: ${line}\n`).join('')
  return Buffer.from(`${withId ? `id: ${eventId}\n` : ''}${data}\n`)
}

/**
 * @param options - clock, pace and script
 * @returns an engine without runs
 */
export function createScriptedEngine (options: ScriptedEngineOptions): ScriptedEngine {
  const { clock } = options
  const open = new Map<Handler, () => void>()
  /** Items whose failure comes once more on a kept connection. */
  const failsAgain = new Set<string>()
  let bornAtMs = 1

  const end = (handler: Handler): void => { open.delete(handler) }

  const answer = (handler: Handler, itemId: string, status: number, body: string): void => {
    handler.onHeaders(status, ['x-id', itemId, 'content-type', EVENT_STREAM_TYPE, 'content-length', String(body.length)].map(text => Buffer.from(text)))
    if (body !== '') handler.onData(Buffer.from(body))
    // A listener that has given the answer up has closed the connection.
    if (!open.has(handler)) return
    end(handler)
    handler.onComplete()
  }

  const stream = (handler: Handler, itemId: string, from: number, trouble: RunFault): void => {
    const answeredId = trouble.trouble === 'of_another' ? 'another' : itemId
    handler.onHeaders(200, ['x-id', answeredId, 'content-type', EVENT_STREAM_TYPE, 'transfer-encoding', 'chunked'].map(text => Buffer.from(text)))
    const first = trouble.trouble === 'from_start' ? 1 : from + 1
    const atEvent = 'atEvent' in trouble ? first + trouble.atEvent : undefined
    let hasPaused = false
    const next = (eventId: number): void => {
      if (!open.has(handler)) return
      if (eventId > options.eventCount(itemId)) {
        end(handler)
        handler.onComplete()
        return
      }
      // Nothing tells a stream without its last event from a whole one.
      const isHarmless = trouble.trouble === 'skip' && eventId === options.eventCount(itemId)
      const troubled = eventId === atEvent && !isHarmless ? trouble.trouble : 'none'
      if (troubled === 'silent' && !hasPaused) {
        hasPaused = true
        clock.after(SILENT_MS, () => next(eventId))
        return
      }
      const bytes = eventBytes(answeredId, eventId, troubled !== 'without_id')
      if (troubled === 'cut') handler.onData(bytes.subarray(0, bytes.length - 2))
      if (troubled === 'break' || troubled === 'cut') {
        end(handler)
        handler.onError(new Error('broken'))
        return
      }
      if (troubled !== 'skip') handler.onData(bytes)
      clock.after(options.eventIntervalMs, () => next(eventId + 1))
    }
    clock.after(options.eventIntervalMs, () => next(first))
  }

  const begin = (handler: Handler, itemId: string, from: number, isKept: boolean): void => {
    if (!open.has(handler)) return
    if (isKept && failsAgain.delete(itemId)) {
      answer(handler, itemId, FAILED_STATUS, '')
      return
    }
    const trouble = options.nextFault()
    if (trouble.trouble === 'status' || trouble.trouble === 'fail_twice') {
      const status = 'status' in trouble ? trouble.status : FAILED_STATUS
      if (isKept && trouble.trouble === 'fail_twice') failsAgain.add(itemId)
      options.onStatus(itemId, status)
      answer(handler, itemId, status, '')
    } else if (trouble.trouble === 'no_stream') answer(handler, itemId, 200, '{"error":"busy"}\n\n')
    else if (trouble.trouble === 'empty' && from === 0) answer(handler, itemId, 200, '')
    else stream(handler, itemId, from, trouble)
  }

  /** What has come for a reader that has given the run up meanwhile is not read. */
  const readerOf = (reader: Handler): Handler => {
    let isAborted = false
    const unlessAborted = (action: () => void): void => options.toReader(() => { if (!isAborted) action() })
    return {
      onConnect: abort => reader.onConnect(() => {
        isAborted = true
        abort()
      }),
      onHeaders: (status, rawHeaders) => unlessAborted(() => reader.onHeaders(status, rawHeaders)),
      onData: chunk => unlessAborted(() => reader.onData(chunk)),
      onComplete: () => unlessAborted(reader.onComplete),
      onError: error => unlessAborted(() => reader.onError(error))
    }
  }

  const dispatch = (request: { headers: string[] }, reader: Handler, isKept: boolean): boolean => {
    const [, itemId, , from] = request.headers
    const handler = readerOf(reader)
    open.set(handler, () => { handler.onError(new Error('broken')) })
    queueMicrotask(() => {
      handler.onConnect(() => end(handler))
      begin(handler, itemId, Number(from), isKept)
    })
    return true
  }

  return {
    pool: { dispatch: (request: { headers: string[] }, handler: Handler) => dispatch(request, handler, true) } as unknown as Pool,
    freshPool: { dispatch: (request: { headers: string[] }, handler: Handler) => dispatch(request, handler, false) } as unknown as Pool,
    running: () => open.size,
    restart: () => {
      bornAtMs++
      failsAgain.clear()
      const broken = [...open.values()]
      open.clear()
      broken.forEach(breakOff => breakOff())
    },
    bornAtMs: () => bornAtMs
  }
}
