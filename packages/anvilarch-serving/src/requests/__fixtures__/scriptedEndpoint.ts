/** Endpoints that end their runs as a script says. */
import type { FakeClock } from 'anvilarch-utils'
import { EVENT_STREAM_HEADERS, OWN_HEADERS, type SentRequest } from './forwardHarness'

/** How events are written. */
export type EventStyle = 'plain' | 'crlf' | 'with_version' | 'with_comments'

/** How one send ends, and how fast it gets there. */
export type Ending = EndingKind & {
  /** Time to the head. */
  headMs: number
  gapMs: number
  /** Size of the pieces in which events come; 0 for one piece for each event. */
  pieceBytes: number
  style: EventStyle
}

/**
 * `whole`: all events, or the whole body. `break`, `half_event`: cut before or within an event. `half_event_end`: an end within
 * an event that looks whole. `silent`: nothing more comes.
 * `skip`, `repeat`, `lower`, `without_id`: an event bears another id, or none; the others follow, and an end that looks whole.
 * `unframed_end`: events of a head that names no frame end early, and look whole.
 * `from_start`: goes on from the first event whatever was asked for. `of_another`, `unsigned`, `encoded`, `unframed`: such a head, and
 * all events. `empty`: the head of a stream from the start, and its end. `status`: a whole body that is no stream. `half_status`: half of one. `refusal`: the endpoint has not run the request and
 * says so. `half_refusal`: the head of that. `no_answer`: no head, and an end. `not_reached`: no connection.
 */
export type EndingKind =
  | { ending: 'whole' | 'from_start' | 'of_another' | 'unsigned' | 'encoded' | 'unframed' | 'empty' | 'no_answer' | 'not_reached' }
  | { ending: 'break' | 'half_event' | 'half_event_end' | 'silent' | 'skip' | 'repeat' | 'lower' | 'without_id' | 'unframed_end', atEvent: number }
  | { ending: 'status' | 'half_status', status: number, body: string }
  | { ending: 'refusal' | 'half_refusal', status: 421 | 429 | 503 | 400 }

/** A send and what became of it. */
export interface Run {
  request: SentRequest
  ending: Ending
  /** Nothing more comes from the endpoint, or the gateway has ended the exchange. */
  isOver: () => boolean
  /** False where the endpoint has said that it has not run the request, or was never reached. */
  mayHaveRun: () => boolean
  /** Whether the endpoint has told the end of the events, after the last one. */
  toldEnd: boolean
  /** The whole answer that is no stream of events. */
  whole?: { status: number, body: string }
}

/** What the endpoints know of the request. */
export interface ScriptedRequest {
  streams: boolean
  eventCount: number
}

const HALF_EVENTS: ReadonlySet<string> = new Set<Ending['ending']>(['half_event', 'half_event_end'])

const NOT_FRAMED = [...OWN_HEADERS, 'content-type', 'text/event-stream']

/** @returns the data of an event */
export function eventData (id: number): string {
  return `e${id}`
}

function eventText (id: number | string, data: string, style: EventStyle): string {
  const lines = [`id: ${id}`, `data: ${data}`, '', '']
  if (style === 'with_version') lines.unshift('version: 7')
  if (style === 'with_comments') lines.unshift(': alive', '')
  return lines.join(style === 'crlf' ? '\r\n' : '\n')
}

/**
 * @param clock - on which the endpoint works
 * @param request - as the endpoint got it
 * @param ending - how it ends
 * @param asked - what the request is
 * @returns the run, which goes on with the clock; it hands on whatever the script says after it was aborted, too
 */
export function runScript (clock: FakeClock, request: SentRequest, ending: Ending, asked: ScriptedRequest): Run {
  const { exchange } = request
  let over = false
  let refused = ending.ending === 'not_reached'
  const run: Run = { request, ending, isOver: () => over || request.aborted, mayHaveRun: () => !refused, toldEnd: false }

  const end = (act: () => void): void => {
    over = true
    act()
  }
  const fail = (code: string): void => end(() => exchange.onError(Object.assign(new Error(code), { code })))
  const head = (status: number, headers: string[]): void => { exchange.onHeaders(status, headers.map(text => Buffer.from(text))) }

  const send = (text: string): void => {
    const bytes = Buffer.from(text)
    const pieceBytes = ending.pieceBytes === 0 ? bytes.length : ending.pieceBytes
    for (let from = 0; from < bytes.length; from += pieceBytes) exchange.onData(bytes.subarray(from, from + pieceBytes))
  }

  const sendWhole = (status: number, notRun: string[], isHalf: boolean): void => {
    const body = 'body' in ending ? ending.body : `${status} of ${request.endpoint}`
    head(status, [...OWN_HEADERS, ...notRun, 'content-type', 'text/plain', 'content-length', String(body.length)])
    send(isHalf ? body.slice(0, body.length / 2) : body)
    if (isHalf) {
      clock.after(ending.gapMs, () => fail('ECONNRESET'))
      return
    }
    refused = notRun.length > 0 && !request.aborted
    if (!refused) run.whole = { status, body }
    end(exchange.onComplete)
  }

  const trouble = 'atEvent' in ending ? ending : undefined
  const firstId = (ending.ending === 'from_start' ? 0 : request.lastEventId ?? 0) + 1
  /** A first event that is missing, or of another run, shows only where the one before it is known. */
  const troubleId = trouble === undefined ? undefined : firstId + Math.max(trouble.atEvent, request.lastEventId === undefined ? 1 : 0)

  const idOf = (id: number): number | string => {
    if (id !== troubleId) return id
    const ids: Partial<Record<Ending['ending'], number | string>> = { repeat: id - 1, lower: Math.max(0, id - 2), without_id: 'x' }
    return ids[ending.ending] ?? id
  }

  const endEvents = (id: number): void => {
    run.toldEnd = id > asked.eventCount
    end(exchange.onComplete)
  }

  const sendEvents = (id: number): void => {
    if (over) return
    if (id === troubleId && ending.ending === 'silent') return
    if (id === troubleId && ending.ending === 'unframed_end') endEvents(id)
    else if (id === troubleId && ending.ending === 'break') fail('UND_ERR_SOCKET')
    else if (id === troubleId && HALF_EVENTS.has(ending.ending)) {
      send(eventText(id, eventData(id), ending.style).slice(0, -1))
      if (ending.ending === 'half_event') fail('ECONNRESET')
      else endEvents(id)
    } else if (id > asked.eventCount) endEvents(id)
    else {
      // Nothing tells how many events there are: that the last one is missing cannot be seen.
      const isLeftOut = id === troubleId && ending.ending === 'skip' && id < asked.eventCount
      if (!isLeftOut) send(eventText(idOf(id), eventData(id), ending.style))
      clock.after(ending.gapMs, () => sendEvents(id + 1))
    }
  }

  const streamHead = (headers: string[]): void => {
    head(200, headers)
    clock.after(ending.gapMs, () => sendEvents(firstId))
  }

  const answerUsual = (headers: string[]): void => {
    if (asked.streams) streamHead(headers)
    else if (ending.ending === 'break' || HALF_EVENTS.has(ending.ending)) sendWhole(200, [], true)
    else if (ending.ending !== 'silent') sendWhole(200, [], false)
  }

  /** Heads that spoil whatever follows them; the same for lookups, whose body is as whole as can be. */
  const answerWithHead = (headers: string[]): void => {
    if (asked.streams) {
      streamHead(headers)
      return
    }
    head(200, headers)
    send('body')
    end(exchange.onComplete)
  }

  const answers: Partial<Record<Ending['ending'], () => void>> = {
    of_another: () => answerWithHead(['request-id', 'another', ...EVENT_STREAM_HEADERS.slice(2)]),
    unsigned: () => answerWithHead(['content-type', 'text/event-stream', 'transfer-encoding', 'chunked']),
    encoded: () => answerWithHead([...EVENT_STREAM_HEADERS, 'content-encoding', 'gzip']),
    unframed: () => answerWithHead(NOT_FRAMED),
    unframed_end: () => answerWithHead(NOT_FRAMED),
    status: () => sendWhole(statusOf(ending), [], false),
    half_status: () => sendWhole(statusOf(ending), [], true),
    refusal: () => sendWhole(statusOf(ending), ['not-run', '1'], false),
    half_refusal: () => sendWhole(statusOf(ending), ['not-run', '1'], true),
    empty: () => {
      // Of the rest of a stream nothing tells that an event is missing.
      if (!asked.streams || firstId > 1) {
        answerUsual(EVENT_STREAM_HEADERS)
        return
      }
      head(200, EVENT_STREAM_HEADERS)
      endEvents(firstId)
    },
    no_answer: () => end(exchange.onComplete),
    not_reached: () => fail('ECONNREFUSED')
  }
  clock.after(ending.headMs, answers[ending.ending] ?? (() => answerUsual(EVENT_STREAM_HEADERS)))
  return run
}

function statusOf (ending: Ending): number {
  return 'status' in ending ? ending.status : 200
}
