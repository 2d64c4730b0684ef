/** Runs one item at the local engine, starting after the last event that it has produced. */
import { type Clock, createInactivityTimeout } from 'anvilarch-utils'
import type { Pool } from '../endpoints/httpPool'
import type { JobItem } from '../jobs/types'
import { createByteBudget } from '../requests/byteBudget'
import { type Attempt, startAttempt } from '../requests/runAttempt'
import type { RequestWire } from '../requests/types'
import type { EngineWire } from '../roles/types'

/** How a run ended. `interrupted`: without a complete response; a later run continues the item. */
export type RunEnd =
  | { end: 'completed', text: string }
  | { end: 'failed' }
  | { end: 'impossible' }
  | { end: 'interrupted', reason: string }

/** Text that an item has produced so far. */
export interface ItemText {
  lastEventId: number
  /** Data of all events so far, in order. */
  eventData: string[]
  /** Software version of the engine that produced the events; another version cannot continue them. */
  softwareVersion: string | undefined
  /** The last run whose connection ended in order without a sign that the text is complete: start of its engine, and last event at that time. */
  closedRun?: { startId: string, eventId: number }
}

/** Options of `runItem`. */
export interface ItemRunOptions {
  clock: Clock
  pool: Pool
  requestWire: RequestWire
  engineWire: EngineWire
  item: JobItem
  host: string
  /** Client account of the item's job. */
  account: string | undefined
  endpointId: string
  /** Start of the engine. */
  startId: string
  deadlineMs: number
  /** Extended by each event; a later run continues from it. */
  text: ItemText
  onEvent: () => void
  onEnd: (end: RunEnd) => void
}

/** An engine that sends no event for this long is assumed to have stopped running the item. Events arrive every 25 ms, and at a few times that interval from a slow engine. */
const EVENT_TIMEOUT_MS = 2500

/** Limit on the text of an item: the store keeps objects of up to 8 MiB. */
const MAX_TEXT_BYTES = 8 * 1024 * 1024

/** Memory for each event of a text beside its characters. Counted, since a faulty engine may send empty events without end. */
const EVENT_OVERHEAD_BYTES = 64

/** Limit on a response that is no stream of events, which is a failure of the engine. */
const MAX_RESPONSE_BYTES = 1024 * 1024

const IMPOSSIBLE_STATUS = 422
const FAILED_STATUS = 500

/**
 * @param options - engine, item and text so far
 * @returns the run; aborting it closes the connection without a call of `onEnd`
 */
export function runItem (options: ItemRunOptions): Attempt {
  const { clock, text, item } = options
  let ended = false
  let textBytes = text.eventData.reduce((sum, data) => sum + keptBytesOf(data), 0)
  const finish = (end: RunEnd): void => {
    if (ended) return
    ended = true
    eventTimeout.cancel()
    options.onEnd(end)
  }
  const eventTimeout = createInactivityTimeout({
    clock,
    timeoutMs: EVENT_TIMEOUT_MS,
    onTimeout: () => {
      attempt.abort()
      finish({ end: 'interrupted', reason: 'silent' })
    }
  })
  /** No result may be this long, so that the events are not those of the item. */
  const discardText = (): void => {
    text.lastEventId = 0
    text.eventData = []
    attempt.abort()
    finish({ end: 'interrupted', reason: 'text_too_large' })
  }
  const resumesAfter = text.lastEventId > 0 ? text.lastEventId : undefined
  const attempt = startAttempt({
    pool: options.pool,
    wire: options.requestWire,
    requestId: item.id,
    request: {
      method: 'POST',
      path: item.path,
      headers: options.engineWire.encodeItem(item, options.host, {
        deadlineMs: options.deadlineMs,
        expectedEndpointId: options.endpointId,
        lastEventId: resumesAfter,
        caller: { accountName: options.account, stripsCredential: true }
      }),
      body: item.body
    },
    streams: true,
    afterEventId: text.lastEventId,
    resumable: true,
    budget: createByteBudget(MAX_RESPONSE_BYTES),
    onHead: eventTimeout.recordActivity,
    onEvent: (_bytes, id, data) => {
      // A block that holds only comments is no sign that the engine runs the item.
      if (id === undefined) return
      eventTimeout.recordActivity()
      text.lastEventId = id
      text.eventData.push(copyOf(data))
      textBytes += keptBytesOf(data)
      if (textBytes > MAX_TEXT_BYTES) discardText()
      else options.onEvent()
    },
    onStreamEnd: () => finish(endOfEvents(text)),
    onUnconfirmedEnd: response => finish(response === undefined ? endOfUnconfirmedEvents(text, options.startId) : endOfResponse(response.status)),
    onResponse: response => finish(endOfResponse(response.status)),
    onFailure: (_failure, reason) => finish({ end: 'interrupted', reason })
  })
  return {
    ...attempt,
    abort: () => {
      ended = true
      eventTimeout.cancel()
      attempt.abort()
    }
  }
}

/** @returns bytes that one event of a text takes */
function keptBytesOf (data: string): number {
  return Buffer.byteLength(data) + EVENT_OVERHEAD_BYTES
}

/** @returns the same text without the block that it is part of, which would be kept with it */
function copyOf (data: string): string {
  return Buffer.from(data).toString()
}

/** @returns how a run ends after a response that is not a stream of events */
function endOfResponse (status: number): RunEnd {
  if (status === IMPOSSIBLE_STATUS) return { end: 'impossible' }
  if (status === FAILED_STATUS) return { end: 'failed' }
  return { end: 'interrupted', reason: `status ${status}` }
}

/**
 * The connections of an engine that is killed may end in order too. So the next run resumes the text, unless this one has received no
 * event after such an end at the same start of the engine.
 */
function endOfUnconfirmedEvents (text: ItemText, startId: string): RunEnd {
  const eventId = text.lastEventId
  const isConfirmed = text.closedRun?.startId === startId && text.closedRun.eventId === eventId
  text.closedRun = { startId, eventId }
  return isConfirmed ? endOfEvents(text) : { end: 'interrupted', reason: 'end_not_confirmed' }
}

/** A run that resumes after the last event of its item receives no further event; a run from the start receives at least one. */
function endOfEvents (text: ItemText): RunEnd {
  if (text.lastEventId === 0) return { end: 'interrupted', reason: 'no_events' }
  return { end: 'completed', text: text.eventData.join('\n') }
}
