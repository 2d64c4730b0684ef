/** A model engine on a fake clock whose runs fail as scripted. */
import type { ConnectionEnd, FakeClock } from 'anvilarch-utils'
import type { Pool } from '../../endpoints/httpPool'

/**
 * Fault of a run; `atEvent` counts the events of the run, from 0. `from_start`: does not continue after the requested event, but
 * starts over. `no_stream`: a complete body without an event. `empty`: a complete response without an event, only for runs from
 * the start, since it is correct for one that continues after the last event. `silent`: continues after the run has timed out.
 * `unframed`: all events without a length, and the connection ends in order. `unframed_reset`: it breaks before an event.
 * `unframed_gone`: the process ends before an event, which ends all its connections in order, and starts again.
 * `fail_twice`: 500, and once more on a reused connection, as if it were the response to the next run of the item.
 */
export type RunFault =
  | { fault: 'none' | 'from_start' | 'of_another' | 'no_stream' | 'empty' | 'fail_twice' | 'unframed' }
  | { fault: 'status', status: number }
  | { fault: 'break' | 'silent' | 'without_id' | 'skip' | 'cut' | 'unframed_reset' | 'unframed_gone', atEvent: number }

/** The scripted engine. */
export interface ScriptedEngine {
  pool: Pool
  /** Connections that are each used for one run. */
  freshPool: Pool
  running: () => number
  /** Ends the process; the next start has another start time. */
  restart: () => void
  bornAtMs: () => number
}

/** Options of `createScriptedEngine`. */
export interface ScriptedEngineOptions {
  clock: FakeClock
  eventIntervalMs: number
  eventCount: (itemId: string) => number
  /** Whether all streams have no length and end with their connection. */
  isUnframed: boolean
  onRun: (itemId: string) => void
  /** Called once for each run. */
  nextFault: () => RunFault
  /** Delivers what the engine sends to the process that reads it. */
  toReader: (action: () => void) => void
  /** Called for each response to a run that is not a stream, except repeated ones. */
  onStatus: (itemId: string, status: number) => void
}

/** Also the type of responses without an event, so that a reader cannot tell them apart by the type alone. */
const EVENT_STREAM_TYPE = 'text/event-stream'

interface Handler {
  onConnect: (abort: () => void) => void
  onHeaders: (status: number, rawHeaders: Buffer[]) => void
  onData: (chunk: Buffer) => void
  onComplete: () => void
  onError: (error: Error) => void
}

/** Also receives the end of a response without a length. */
interface EndingHandler extends Handler {
  onConnectionEnd: (end: ConnectionEnd) => void
}

/** Longer than the event timeout of a runner. */
const STALL_MS = 4000

const FAILED_STATUS = 500

const UNFRAMED: ReadonlySet<string> = new Set<RunFault['fault']>(['unframed', 'unframed_reset', 'unframed_gone'])

const LINE_BREAK_EVERY = 3
const EMPTY_EVERY = 7

/** @returns the data of an event; some events contain a line break, and some are empty */
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
 * @param options - clock, event interval and script
 * @returns an engine without runs
 */
export function createScriptedEngine (options: ScriptedEngineOptions): ScriptedEngine {
  const { clock } = options
  /** Whether the response in progress has no length, for each run. */
  const open = new Map<EndingHandler, boolean>()
  /** Items whose failure is sent once more on a reused connection. */
  const failsAgain = new Set<string>()
  let bornAtMs = 1
  let lastConnectionEnd: ConnectionEnd = 'broken'

  const end = (handler: EndingHandler): void => { open.delete(handler) }

  const answer = (handler: EndingHandler, itemId: string, status: number, body: string): void => {
    handler.onHeaders(status, ['x-id', itemId, 'content-type', EVENT_STREAM_TYPE, 'content-length', String(body.length)].map(text => Buffer.from(text)))
    if (body !== '') handler.onData(Buffer.from(body))
    // A reader that has rejected the response has closed the connection.
    if (!open.has(handler)) return
    end(handler)
    handler.onComplete()
  }

  const stream = (handler: EndingHandler, itemId: string, from: number, fault: RunFault): void => {
    const answeredId = fault.fault === 'of_another' ? 'another' : itemId
    const isUnframed = options.isUnframed || UNFRAMED.has(fault.fault)
    open.set(handler, isUnframed)
    handler.onHeaders(200, ['x-id', answeredId, 'content-type', EVENT_STREAM_TYPE, ...isUnframed ? [] : ['transfer-encoding', 'chunked']].map(text => Buffer.from(text)))
    const first = fault.fault === 'from_start' ? 1 : from + 1
    const atEvent = 'atEvent' in fault ? first + fault.atEvent : undefined
    let hasStalled = false
    const next = (eventId: number): void => {
      if (!open.has(handler)) return
      if (eventId > options.eventCount(itemId)) {
        end(handler)
        if (isUnframed) handler.onConnectionEnd('closed')
        else handler.onComplete()
        return
      }
      // A stream without its last event cannot be told from a complete one.
      const isHarmless = fault.fault === 'skip' && eventId === options.eventCount(itemId)
      const activeFault = eventId === atEvent && !isHarmless ? fault.fault : 'none'
      if (activeFault === 'silent' && !hasStalled) {
        hasStalled = true
        clock.after(STALL_MS, () => next(eventId))
        return
      }
      const bytes = eventBytes(answeredId, eventId, activeFault !== 'without_id')
      if (activeFault === 'cut') handler.onData(bytes.subarray(0, bytes.length - 2))
      if (activeFault === 'unframed_gone') {
        restart()
        return
      }
      if (activeFault === 'break' || activeFault === 'cut' || activeFault === 'unframed_reset') {
        end(handler)
        if (isUnframed) handler.onConnectionEnd('broken')
        else handler.onError(new Error('broken'))
        return
      }
      if (activeFault !== 'skip') handler.onData(bytes)
      clock.after(options.eventIntervalMs, () => next(eventId + 1))
    }
    clock.after(options.eventIntervalMs, () => next(first))
  }

  const begin = (handler: EndingHandler, itemId: string, from: number, isReusable: boolean): void => {
    if (!open.has(handler)) return
    if (isReusable && failsAgain.delete(itemId)) {
      answer(handler, itemId, FAILED_STATUS, '')
      return
    }
    options.onRun(itemId)
    const fault = options.nextFault()
    if (fault.fault === 'status' || fault.fault === 'fail_twice') {
      const status = 'status' in fault ? fault.status : FAILED_STATUS
      if (isReusable && fault.fault === 'fail_twice') failsAgain.add(itemId)
      options.onStatus(itemId, status)
      answer(handler, itemId, status, '')
    } else if (fault.fault === 'no_stream') answer(handler, itemId, 200, '{"error":"busy"}\n\n')
    else if (fault.fault === 'empty' && from === 0) answer(handler, itemId, 200, '')
    else stream(handler, itemId, from, fault)
  }

  /** Wraps a reader so that it receives nothing after it has aborted the run. */
  const readerOf = (reader: Handler): EndingHandler => {
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
      onConnectionEnd: connectionEnd => unlessAborted(() => {
        lastConnectionEnd = connectionEnd
        reader.onComplete()
      }),
      onError: error => unlessAborted(() => reader.onError(error))
    }
  }

  const dispatch = (request: { headers: string[] }, reader: Handler, isReusable: boolean): boolean => {
    const [, itemId, , from] = request.headers
    const handler = readerOf(reader)
    open.set(handler, false)
    queueMicrotask(() => {
      handler.onConnect(() => end(handler))
      begin(handler, itemId, Number(from), isReusable)
    })
    return true
  }

  /** The connections of a process that ends are closed in order, which looks like an end only where a response has no length. */
  const restart = (): void => {
    bornAtMs++
    failsAgain.clear()
    const ended = [...open]
    open.clear()
    for (const [handler, isUnframed] of ended) {
      if (isUnframed) handler.onConnectionEnd('closed')
      else handler.onError(new Error('broken'))
    }
  }

  const poolOf = (isReusable: boolean): Pool => ({
    lastConnectionEnd: () => lastConnectionEnd,
    dispatch: (request: { headers: string[] }, handler: Handler) => dispatch(request, handler, isReusable)
  }) as unknown as Pool

  return {
    pool: poolOf(true),
    freshPool: poolOf(false),
    running: () => open.size,
    restart,
    bornAtMs: () => bornAtMs
  }
}
