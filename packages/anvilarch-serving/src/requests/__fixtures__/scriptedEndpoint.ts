/** Endpoints that follow a script. */
import type { FakeClock } from 'anvilarch-utils'
import { EVENT_STREAM_HEADERS, SIGNED_HEADERS, type SentRequest } from './forwardHarness'

/** Format of events. */
export type EventStyle = 'plain' | 'crlf' | 'with_version' | 'with_comments'

/** Ending and timing of one send. */
export type Ending = EndingKind & {
  /** Time to the head. */
  headMs: number
  /** Time from the head of a stream until the run leaves the endpoint's queue. */
  queueMs: number
  gapMs: number
  /** Chunk size of the stream; 0 for one chunk for each event. */
  chunkBytes: number
  /** Number of events that are sent together. */
  eventsPerWrite: number
  style: EventStyle
}

/**
 * - `whole`: all events, or the complete body.
 * - `break`, `half_event`: the connection closes before or within an event.
 * - `half_event_end`: the response ends within an event as if it were complete.
 * - `silent`: nothing is sent from an event on.
 * - `skip`, `repeat`, `lower`, `without_id`: an event is missing, or has a wrong id or none. The other events follow, and an end as
 *   of a complete response.
 * - `unframed`: the head states no framing, and the connection ends in order after all events or the complete body.
 * - `unframed_early`: the same, but before an event.
 * - `unframed_gone`: the same, since the process of the endpoint ends; it does not listen any more.
 * - `unframed_reset`: the head states no framing, and the connection breaks before an event.
 * - `from_start`: the stream starts with the first event although it was to be resumed.
 * - `of_another`, `unsigned`, `encoded`: a head with this fault, then all events.
 * - `empty`: the head of a stream from the start, then its end.
 * - `status`: a complete body that is not a stream.
 * - `half_status`: half of such a body.
 * - `refusal`: the endpoint states that it has not run the request.
 * - `half_refusal`: the head of a refusal and half of its body.
 * - `no_answer`: an end without a head.
 * - `not_reached`: no connection.
 */
export type EndingKind =
  | { ending: 'whole' | 'from_start' | 'of_another' | 'unsigned' | 'encoded' | 'unframed' | 'empty' | 'no_answer' | 'not_reached' }
  | { ending: 'break' | 'half_event' | 'half_event_end' | 'silent' | 'skip' | 'repeat' | 'lower' | 'without_id' | 'unframed_early' | 'unframed_gone' | 'unframed_reset', atEvent: number }
  | { ending: 'status' | 'half_status', status: number, body: string }
  | { ending: 'refusal' | 'half_refusal', status: 421 | 429 | 503 | 400 }

/** A scripted send and its result. */
export interface Run {
  request: SentRequest
  ending: Ending
  /** @returns whether the endpoint sends nothing more or the gateway has aborted the exchange */
  isOver: () => boolean
  /** @returns false if the endpoint has stated that it has not run the request, or was never reached */
  mayHaveRun: () => boolean
  /** Time of the last event; of the send before the first one. */
  lastEventAtMs: number
  /** Whether the endpoint has ended the stream after the last event. */
  endedStream: boolean
  /** Whether the endpoint has refused, closed the connection, or sent what is not its part of the response. */
  failed: boolean
  /** Id of the last event if the response has no length and its connection ended in order after it. */
  closedAfterId?: number
  closedAtMs: number
  /** Whether the process of the endpoint has ended with the response. */
  processEnded: boolean
  /** Whether the endpoint has ended the exchange before the gateway aborted it. */
  ended: boolean
  /** The complete response that is not a stream of events. */
  whole?: { status: number, body: string }
}

/** Properties of the request that determine the response. */
export interface ScriptedRequest {
  streams: boolean
  eventCount: number
  /** @returns the time until which all endpoints are paused */
  pausedUntilMs: () => number
}

const HALF_EVENTS: ReadonlySet<string> = new Set<Ending['ending']>(['half_event', 'half_event_end'])

const UNFRAMED: ReadonlySet<string> = new Set<Ending['ending']>(['unframed', 'unframed_early', 'unframed_gone', 'unframed_reset'])

const UNFRAMED_HEADERS = [...SIGNED_HEADERS, 'content-type', 'text/event-stream']

/** Body of a lookup whose endpoint has ended within it. */
export const HALF_BODY = 'bo'

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
 * @param clock - clock of the endpoint
 * @param request - the request as the endpoint received it
 * @param ending - ending and timing of the send
 * @param scripted - properties of the request
 * @returns the run, which proceeds with the clock; it follows the script even after it was aborted
 */
export function runScript (clock: FakeClock, request: SentRequest, ending: Ending, scripted: ScriptedRequest): Run {
  const { exchange } = request
  let over = false
  let refused = ending.ending === 'not_reached'
  const run: Run = { request, ending, isOver: () => over || request.aborted, mayHaveRun: () => !refused, lastEventAtMs: clock.nowMs(), closedAtMs: Infinity, processEnded: false, endedStream: false, failed: false, ended: false }

  /** A paused endpoint continues after the pause. */
  const after = (delayMs: number, act: () => void): void => {
    clock.after(delayMs, () => {
      const pausedMs = scripted.pausedUntilMs() - clock.nowMs()
      if (pausedMs > 0) after(pausedMs, act)
      else act()
    })
  }
  const end = (act: () => void): void => {
    over = true
    run.ended ||= !request.aborted
    act()
  }
  const fail = (code: string): void => end(() => {
    run.failed ||= !request.aborted
    exchange.onError(Object.assign(new Error(code), { code }))
  })
  const head = (status: number, headers: string[]): void => { exchange.onHeaders(status, headers.map(text => Buffer.from(text))) }

  const send = (text: string): void => {
    const bytes = Buffer.from(text)
    const chunkBytes = ending.chunkBytes === 0 ? bytes.length : ending.chunkBytes
    for (let from = 0; from < bytes.length; from += chunkBytes) exchange.onData(bytes.subarray(from, from + chunkBytes))
  }

  const sendBuffered = (status: number, notRun: string[], isHalf: boolean): void => {
    const body = 'body' in ending ? ending.body : `${status} of ${request.endpoint}`
    head(status, [...SIGNED_HEADERS, ...notRun, 'content-type', 'text/plain', 'content-length', String(body.length)])
    send(isHalf ? body.slice(0, body.length / 2) : body)
    if (isHalf) {
      after(ending.gapMs, () => fail('ECONNRESET'))
      return
    }
    run.failed ||= scripted.streams && !request.aborted
    refused = notRun.length > 0 && !request.aborted
    if (!refused) run.whole = { status, body }
    end(exchange.onComplete)
  }

  const fault = 'atEvent' in ending ? ending : undefined
  const firstId = (ending.ending === 'from_start' ? 0 : request.lastEventId ?? 0) + 1
  /** A fault at the first event is detectable only if the id of the event before it is known. */
  const faultId = fault === undefined ? undefined : firstId + Math.max(fault.atEvent, request.lastEventId === undefined ? 1 : 0)

  /** The next event shows that one is missing. */
  let hasSkipped = false

  const idOf = (id: number): number | string => {
    if (id !== faultId) return id
    const ids: Partial<Record<Ending['ending'], number | string>> = { repeat: id - 1, lower: Math.max(0, id - 2), without_id: 'x' }
    return ids[ending.ending] ?? id
  }

  const isWrong = (id: number): boolean => (id === faultId && ending.ending !== 'silent') || (ending.ending === 'from_start' && (request.lastEventId ?? 0) > 0)

  const isUnframed = UNFRAMED.has(ending.ending)

  const endEvents = (id: number): void => {
    run.endedStream = id > scripted.eventCount
    run.failed ||= (!run.endedStream || ending.ending === 'unframed_gone') && !request.aborted
    if (isUnframed && !request.aborted) Object.assign(run, { closedAfterId: id - 1, closedAtMs: clock.nowMs(), processEnded: ending.ending === 'unframed_gone' })
    end(() => isUnframed ? request.endConnection('closed') : exchange.onComplete())
  }

  const breakUnframed = (): void => end(() => {
    run.failed ||= !request.aborted
    request.endConnection('broken')
  })

  const unsent: string[] = []
  let isUnsentWrong = false

  const sendUnsent = (): void => {
    if (unsent.length === 0) return
    run.lastEventAtMs = clock.nowMs()
    run.failed ||= isUnsentWrong && !request.aborted
    send(unsent.splice(0).join(''))
  }

  const sendEvents = (id: number): void => {
    if (over) return
    if (id === faultId || id > scripted.eventCount) sendUnsent()
    if (id === faultId && ending.ending === 'silent') return
    if (id === faultId && (ending.ending === 'unframed_early' || ending.ending === 'unframed_gone')) endEvents(id)
    else if (id === faultId && ending.ending === 'unframed_reset') breakUnframed()
    else if (id === faultId && ending.ending === 'break') fail('UND_ERR_SOCKET')
    else if (id === faultId && HALF_EVENTS.has(ending.ending)) {
      send(eventText(id, eventData(id), ending.style).slice(0, -1))
      run.failed ||= !request.aborted
      if (ending.ending === 'half_event') fail('ECONNRESET')
      else endEvents(id)
    } else if (id > scripted.eventCount) endEvents(id)
    else {
      // The number of events is not stated, so the absence of the last one is not detectable.
      const isSkipped = id === faultId && ending.ending === 'skip' && id < scripted.eventCount
      hasSkipped ||= isSkipped
      if (!isSkipped) {
        isUnsentWrong ||= isWrong(id) || hasSkipped
        unsent.push(eventText(idOf(id), eventData(id), ending.style))
        if (unsent.length >= ending.eventsPerWrite) sendUnsent()
      }
      after(ending.gapMs, () => sendEvents(id + 1))
    }
  }

  const streamHead = (headers: string[]): void => {
    head(200, headers)
    after(ending.queueMs + ending.gapMs, () => sendEvents(firstId))
  }

  const respondNormally = (headers: string[]): void => {
    if (scripted.streams) streamHead(headers)
    else if (ending.ending === 'break' || HALF_EVENTS.has(ending.ending)) sendBuffered(200, [], true)
    else if (ending.ending !== 'silent') sendBuffered(200, [], false)
  }

  /** Sends a faulty head, which invalidates all that follows. The body of a lookup is complete. */
  const respondWithHead = (headers: string[]): void => {
    run.failed ||= !request.aborted
    if (scripted.streams) {
      streamHead(headers)
      return
    }
    head(200, headers)
    send('body')
    end(exchange.onComplete)
  }

  /** Sends a response without a length. The body of a lookup is complete, unless its connection breaks or the process of the endpoint ends. */
  const respondUnframed = (): void => {
    if (scripted.streams) {
      streamHead(UNFRAMED_HEADERS)
      return
    }
    head(200, UNFRAMED_HEADERS)
    send(ending.ending === 'unframed_gone' ? HALF_BODY : 'body')
    if (ending.ending === 'unframed_reset') {
      breakUnframed()
      return
    }
    if (ending.ending === 'unframed_gone') {
      run.processEnded = !request.aborted
      run.failed ||= !request.aborted
    } else run.whole = { status: 200, body: 'body' }
    end(() => request.endConnection('closed'))
  }

  const responses: Partial<Record<Ending['ending'], () => void>> = {
    of_another: () => respondWithHead(['request-id', 'another', ...EVENT_STREAM_HEADERS.slice(2)]),
    unsigned: () => respondWithHead(['content-type', 'text/event-stream', 'transfer-encoding', 'chunked']),
    encoded: () => respondWithHead([...EVENT_STREAM_HEADERS, 'content-encoding', 'gzip']),
    unframed: respondUnframed,
    unframed_early: respondUnframed,
    unframed_gone: respondUnframed,
    unframed_reset: respondUnframed,
    status: () => sendBuffered(statusOf(ending), [], false),
    half_status: () => sendBuffered(statusOf(ending), [], true),
    refusal: () => sendBuffered(statusOf(ending), ['not-run', '1'], false),
    half_refusal: () => sendBuffered(statusOf(ending), ['not-run', '1'], true),
    empty: () => {
      // If a stream is resumed, a missing event is not detectable.
      if (!scripted.streams || firstId > 1) {
        respondNormally(EVENT_STREAM_HEADERS)
        return
      }
      head(200, EVENT_STREAM_HEADERS)
      endEvents(firstId)
    },
    no_answer: () => end(() => {
      run.failed ||= !request.aborted
      exchange.onComplete()
    }),
    not_reached: () => fail('ECONNREFUSED')
  }
  after(ending.headMs, responses[ending.ending] ?? (() => respondNormally(EVENT_STREAM_HEADERS)))
  return run
}

function statusOf (ending: Ending): number {
  return 'status' in ending ? ending.status : 200
}
