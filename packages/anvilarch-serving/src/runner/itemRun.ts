/** Runs one item at the engine beside the agent, with pauses, until it has ended. */
import { type Clock, createSilenceWatch } from 'anvilarch-utils'
import type { Pool } from '../endpoints/httpPool'
import type { JobItem } from '../jobs/types'
import { type Attempt, startAttempt } from '../requests/runAttempt'
import type { RequestWire } from '../requests/types'
import type { EngineWire } from '../roles/types'

/** How a run ended. `interrupted`: without a whole answer, to be gone on with. */
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
}

/** What a run needs and whom it tells. */
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
  deadlineMs: number
  /** Grows as events come; a later run goes on from it. */
  text: ItemText
  onEvent: () => void
  onEnd: (end: RunEnd) => void
}

/** An engine that makes no event for this long has lost the item; its events come every 25 ms, a few times that on a slow one. */
const SILENCE_MS = 2500

const IMPOSSIBLE_STATUS = 422
const FAILED_STATUS = 500

/**
 * @param options - engine, item and text so far
 * @returns the run; aborting it closes the connection and reports nothing
 */
export function runItem (options: ItemRunOptions): Attempt {
  const { clock, text, item } = options
  let ended = false
  const finish = (end: RunEnd): void => {
    if (ended) return
    ended = true
    silence.cancel()
    options.onEnd(end)
  }
  const silence = createSilenceWatch({
    clock,
    boundMs: SILENCE_MS,
    onSilence: () => {
      attempt.abort()
      finish({ end: 'interrupted', reason: 'silent' })
    }
  })
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
    onHead: silence.heard,
    onEvent: (_bytes, id, data) => {
      silence.heard()
      // No event, but a block of comments.
      if (id === undefined) return
      text.lastEventId = id
      text.eventData.push(data)
      options.onEvent()
    },
    onEventsEnd: () => finish(endOfEvents(text)),
    onAnswer: answer => finish(endOfAnswer(answer.status)),
    onFailure: (_failure, reason) => finish({ end: 'interrupted', reason })
  })
  return {
    ...attempt,
    abort: () => {
      ended = true
      silence.cancel()
      attempt.abort()
    }
  }
}

/** @returns what an answer that is no stream of events says of the item */
function endOfAnswer (status: number): RunEnd {
  if (status === IMPOSSIBLE_STATUS) return { end: 'impossible' }
  if (status === FAILED_STATUS) return { end: 'failed' }
  return { end: 'interrupted', reason: `status ${status}` }
}

/** A run that goes on after the last event has none left to give; one from the start has at least one. */
function endOfEvents (text: ItemText): RunEnd {
  if (text.lastEventId === 0) return { end: 'interrupted', reason: 'no_events' }
  return { end: 'completed', text: text.eventData.join('\n') }
}
