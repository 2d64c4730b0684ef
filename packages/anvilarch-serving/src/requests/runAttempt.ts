/** One attempt at an endpoint: checks that the answer is this request's, whole and in order. */
import { isFramed } from 'anvilarch-utils'
import type { Pool } from '../endpoints/httpPool'
import { type Exchange, type ExchangeRequest, startExchange } from '../endpoints/exchange'
import type { AttemptFailure } from './retryDecision'
import { createEventSplitter, type EventBlock, holdsNoEvent } from './eventBlocks'
import { forwardedHeaders } from './headers'
import type { ResponseMetadata, RequestWire } from './types'

/** A whole answer that is not handed on in events. */
export interface EndpointResponse {
  status: number
  rawHeaders: string[]
  body: Buffer
}

/** What an attempt needs and whom it tells. */
export interface AttemptOptions {
  pool: Pool
  wire: RequestWire
  requestId: string
  request: ExchangeRequest
  /** Whether events are handed on as they come. */
  streams: boolean
  /** Events go on after this one. */
  afterEventId: number | undefined
  /** Whether another endpoint may go on with the events, which takes an id at each of them. */
  resumable: boolean
  onHead: (head: { status: number, rawHeaders: string[] }) => void
  onEvent: (bytes: Buffer, id: number | undefined, data: string) => void
  /** The answer was a stream of events, and is whole. */
  onEventsEnd: () => void
  onAnswer: (answer: EndpointResponse) => void
  onFailure: (failure: AttemptFailure, reason: string) => void
}

/** An attempt in progress. */
export interface Attempt {
  /** @returns whether the endpoint may have run the request, as far as is known by now */
  mayHaveRun: () => boolean
  /** Ends the attempt; nothing is heard afterwards. */
  abort: () => void
}

/** An answer that is not handed on in events is held in memory until it is whole. */
const MAX_WHOLE_ANSWER_BYTES = 16 * 1024 * 1024

const NO_HEADERS: ReadonlySet<string> = new Set()
/** Another incarnation answers at the address: the one that was expected is gone. */
const OTHER_INCARNATION_STATUS = 421

/** Why an endpoint has not run a request, by its status. */
const REFUSALS: ReadonlyMap<number, RefusalReason> = new Map([
  [OTHER_INCARNATION_STATUS, 'other_incarnation'],
  [429, 'too_many_calls'],
  [503, 'full'],
  [400, 'malformed']
])

/** Reasons of refusals, as logs and metrics show them. */
export type RefusalReason = 'other_incarnation' | 'too_many_calls' | 'full' | 'malformed'

/** Reasons for which another request may well be taken by the same endpoint. */
const PASSING_REASONS: ReadonlySet<string> = new Set<RefusalReason>(['too_many_calls', 'full', 'malformed'])

/**
 * @param reason - of a failed attempt
 * @returns whether it says nothing against the endpoint; one that has been replaced refuses every request
 */
export function isTransientRefusal (reason: string): boolean {
  return PASSING_REASONS.has(reason)
}

/** Errors of a connection that the other side has ended. */
const BROKEN_REASONS: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

/** @returns whether an attempt has failed since its connection broke while it was in progress */
export function isBrokenConnection (reason: string): boolean {
  return BROKEN_REASONS.has(reason)
}

/** @returns whether an attempt has failed since nobody listens at the endpoint's address */
export function isConnectionRefused (reason: string): boolean {
  return reason === 'ECONNREFUSED'
}

/** @returns why the endpoint has not run the request; undefined when it does not say so */
function refusalOf (status: number, answer: ResponseMetadata): RefusalReason | undefined {
  if (status !== OTHER_INCARNATION_STATUS && !answer.notRun) return undefined
  return REFUSALS.get(status)
}

const EVENT_STREAM_TYPE = 'text/event-stream'

/** @returns whether the body is a stream of events; any other body has no events to hand on, and none that could be missing */
function isEventStream (headers: ReadonlyMap<string, string>): boolean {
  return headers.get('content-type')?.toLowerCase().startsWith(EVENT_STREAM_TYPE) ?? false
}

/**
 * @param options - request, connections and listeners
 * @returns the attempt
 */
export function startAttempt (options: AttemptOptions): Attempt {
  let head: { status: number, rawHeaders: string[], answer: ResponseMetadata, events: boolean } | undefined
  let lastEventId = options.afterEventId
  /** Whether the receiver has an event; one that goes on after the last has none left to get. */
  let hasEvent = (options.afterEventId ?? 0) > 0
  let wholeBytes = 0
  let ended = false
  const chunks: Buffer[] = []
  const splitter = createEventSplitter()
  const asksForHead = options.request.method === 'HEAD'

  /** The length of a body that is handed on is left to the sender. The answer to a HEAD names one that it does not have. */
  const handedOnHeaders = (rawHeaders: string[], headers: ReadonlyMap<string, string>): string[] => {
    const length = asksForHead ? headers.get('content-length') : undefined
    return [...forwardedHeaders(rawHeaders, NO_HEADERS), ...length === undefined ? [] : ['Content-Length', length]]
  }

  const fail = (failure: AttemptFailure, reason: string): void => {
    if (ended) return
    ended = true
    exchange.abort()
    options.onFailure(failure, reason)
  }

  const onHead = (status: number, headers: Map<string, string>, rawHeaders: string[]): void => {
    const answer = options.wire.decodeResponse(headers)
    // A late answer to an earlier request may stand where this one's is expected; handing it on would give a caller another's answer.
    if (answer.requestId !== undefined && answer.requestId !== options.requestId) {
      fail('may_have_run', 'answer_of_another_request')
      return
    }
    if (headers.has('content-encoding')) {
      fail('may_have_run', 'encoded_answer')
      return
    }
    const events = options.streams && status === 200 && isEventStream(headers)
    head = { status, rawHeaders: handedOnHeaders(rawHeaders, headers), answer, events }
    if (refusalOf(status, answer) !== undefined) return
    if (!answer.signed || answer.requestId === undefined) {
      fail('may_have_run', 'unsigned_answer')
      return
    }
    if (!asksForHead && !isFramed(status, name => headers.get(name))) {
      fail('may_have_run', 'unframed_answer')
      return
    }
    if (events) options.onHead(head)
  }

  /** @returns why a block cannot follow those before it; undefined when it can */
  const misplacement = (block: EventBlock): string | undefined => {
    if (block.id === undefined) return options.resumable && !holdsNoEvent(block) ? 'event_without_id' : undefined
    return lastEventId !== undefined && block.id !== lastEventId + 1 ? 'events_out_of_order' : undefined
  }

  const onEvents = (chunk: Buffer): void => {
    for (const block of splitter.push(chunk)) {
      const reason = misplacement(block)
      if (reason !== undefined) {
        fail('may_have_run', reason)
        return
      }
      lastEventId = block.id ?? lastEventId
      hasEvent ||= block.id !== undefined || !holdsNoEvent(block)
      options.onEvent(block.bytes, block.id, block.data)
      if (ended) return
    }
  }

  const onWholeData = (chunk: Buffer): void => {
    wholeBytes += chunk.length
    if (wholeBytes > MAX_WHOLE_ANSWER_BYTES) fail('may_have_run', 'answer_too_large')
    else chunks.push(chunk)
  }

  const onData = (chunk: Buffer): void => {
    if (ended || head === undefined) return
    if (!head.events) {
      onWholeData(chunk)
      return
    }
    try {
      onEvents(chunk)
    } catch (error) {
      fail('may_have_run', (error as Error).message)
    }
  }

  const onComplete = (): void => {
    if (ended) return
    if (head === undefined) {
      fail('may_have_run', 'no_answer')
      return
    }
    const refusal = refusalOf(head.status, head.answer)
    if (refusal !== undefined) {
      fail('not_run', refusal)
      return
    }
    if (head.events && splitter.rest().length > 0) {
      fail('may_have_run', 'cut_within_an_event')
      return
    }
    // The work on a request begins with its first event.
    if (head.events && !hasEvent && !asksForHead) {
      fail('may_have_run', 'no_events')
      return
    }
    // Such a status tells the client that the request has not run; this endpoint does not say so.
    if (head.status === 503 || head.status === 429 || head.status === 408) {
      fail('may_have_run', 'refusal_without_proof')
      return
    }
    ended = true
    if (head.events) options.onEventsEnd()
    else options.onAnswer({ status: head.status, rawHeaders: head.rawHeaders, body: Buffer.concat(chunks) })
  }

  const exchange: Exchange = startExchange(options.pool, options.request, {
    onHead,
    onData,
    onComplete,
    onFailure: failure => fail(failure.notSent ? 'not_run' : 'may_have_run', failure.reason)
  })
  return {
    mayHaveRun: exchange.mayHaveBeenSent,
    abort: () => {
      ended = true
      exchange.abort()
    }
  }
}
