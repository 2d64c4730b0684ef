/** Runs one attempt at an endpoint and checks that the response belongs to the request, is complete and has its events in order. */
import type { Pool } from '../endpoints/httpPool'
import { type Exchange, type ExchangeFailure, type ExchangeRequest, startExchange } from '../endpoints/exchange'
import type { ByteBudget } from './byteBudget'
import { createByteCollector } from 'anvilarch-utils'
import type { AttemptFailure } from './retryDecision'
import { createEventSplitter, type EventBlock, holdsNoEvent } from './eventBlocks'
import { forwardedHeaders } from './headers'
import type { ResponseMetadata, RequestWire } from './types'

/** A complete response that is buffered instead of streamed. */
export interface EndpointResponse {
  status: number
  rawHeaders: string[]
  body: Buffer
}

/** Head of a response that is streamed. */
export interface ResponseHead {
  status: number
  rawHeaders: string[]
}

/** Inputs and callbacks of an attempt. */
export interface AttemptOptions {
  pool: Pool
  wire: RequestWire
  requestId: string
  request: ExchangeRequest
  /** Whether events are forwarded as they arrive. */
  streams: boolean
  /** Id of the event after which the stream resumes. */
  afterEventId: number | undefined
  /** Shared by all requests of this process, since their responses are buffered at the same time. */
  budget: ByteBudget
  /** Whether another endpoint may resume the stream, which requires an id on each event. */
  resumable: boolean
  onHead: (head: ResponseHead) => void
  onEvent: (bytes: Buffer, id: number | undefined, data: string) => void
  /** Called when the response was a stream of events and is complete. */
  onStreamEnd: () => void
  /**
   * Called in place of `onStreamEnd`, or of `onResponse` with a status of success, if only the end of the connection shows that the
   * response is complete. The endpoint closed it in order, but the connections of a process that is killed may end in the same way.
   */
  onUnconfirmedEnd: (response: EndpointResponse | undefined) => void
  onResponse: (response: EndpointResponse) => void
  onFailure: (failure: AttemptFailure, reason: string) => void
}

/** An attempt in progress. */
export interface Attempt {
  /** @returns whether the endpoint may have run the request */
  mayHaveRun: () => boolean
  /** Ends the attempt. No callback is called afterwards. */
  abort: () => void
}

/** Size limit of responses that are not streamed, since they are buffered in memory until they are complete. */
const MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024

/** A response with this status or a higher one has failed, or has no body that matters. */
const FIRST_STATUS_AFTER_SUCCESS = 300

const NO_HEADERS: ReadonlySet<string> = new Set()
/** Status of an incarnation other than the expected one: the expected one no longer runs at this address. */
const OTHER_INCARNATION_STATUS = 421

/** Reasons for which an endpoint has not run a request, by status. */
const REFUSAL_REASONS: ReadonlyMap<number, RefusalReason> = new Map([
  [OTHER_INCARNATION_STATUS, 'other_incarnation'],
  [429, 'too_many_calls'],
  [503, 'full'],
  [400, 'malformed']
])

/** Reasons of refusals in logs and metrics. */
export type RefusalReason = 'other_incarnation' | 'too_many_calls' | 'full' | 'malformed'

/** Reasons for which the same endpoint may still accept other requests. */
const TRANSIENT_REASONS: ReadonlySet<string> = new Set<RefusalReason>(['too_many_calls', 'full', 'malformed'])

/**
 * @param reason - reason of a failed attempt
 * @returns whether the failure does not indicate a fault of the endpoint; an endpoint that has been replaced refuses every request
 */
export function isTransientFailure (reason: string): boolean {
  return TRANSIENT_REASONS.has(reason)
}

/** @returns whether an attempt failed because the endpoint has no room for the request at the moment */
export function isFull (reason: string): boolean {
  return reason === 'full'
}

/** Error codes of connections that the other side has closed. */
const CLOSED_CONNECTION_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

/** @returns whether an attempt failed because its connection was closed while it was in progress */
export function isBrokenConnection (reason: string): boolean {
  return CLOSED_CONNECTION_CODES.has(reason)
}

/** Reason of an attempt whose endpoint was gone after the connection of its response had ended in order. */
export const GONE_AFTER_END_REASON = 'gone_after_end'

/** @returns whether an attempt failed because no process listens at the endpoint's address */
export function isConnectionRefused (reason: string): boolean {
  return reason === 'ECONNREFUSED' || reason === GONE_AFTER_END_REASON
}

/** @returns whether an attempt failed because the process that was to run it no longer listens at the endpoint's address */
export function isEndpointGone (reason: string): boolean {
  return isConnectionRefused(reason) || reason === 'other_incarnation'
}

/** @returns why the endpoint has not run the request; undefined if it does not report so */
function refusalOf (status: number, metadata: ResponseMetadata): RefusalReason | undefined {
  if (status !== OTHER_INCARNATION_STATUS && !metadata.notRun) return undefined
  return REFUSAL_REASONS.get(status)
}

/** Transfer codings that leave the bytes of the body as they are, once chunks are joined. */
const PLAIN_CODINGS: ReadonlySet<string> = new Set(['chunked', 'identity', ''])

/** @returns whether the body has a transfer coding that is not removed; the header that names it is not forwarded */
function hasCodedBody (headers: ReadonlyMap<string, string>): boolean {
  const codings = headers.get('transfer-encoding')?.split(',') ?? []
  return codings.some(coding => !PLAIN_CODINGS.has(coding.trim().toLowerCase()))
}

const EVENT_STREAM_TYPE = 'text/event-stream'

/** @returns whether the body is a stream of events; any other body has no events to forward or to miss */
function isEventStream (headers: ReadonlyMap<string, string>): boolean {
  return headers.get('content-type')?.toLowerCase().startsWith(EVENT_STREAM_TYPE) ?? false
}

/**
 * @param options - request, connections and callbacks
 * @returns the attempt
 */
export function startAttempt (options: AttemptOptions): Attempt {
  let head: { status: number, rawHeaders: string[], metadata: ResponseMetadata, events: boolean, framed: boolean } | undefined
  let lastEventId = options.afterEventId
  /** Whether the client has at least one event. A stream that resumes after the last event has no further events. */
  let hasEvent = (options.afterEventId ?? 0) > 0
  let bufferedBytes = 0
  let ended = false
  const buffered = createByteCollector()
  const splitter = createEventSplitter()
  const isHeadRequest = options.request.method === 'HEAD'

  /** The sender sets the content length of a forwarded body. A HEAD response states a length without having a body, so it keeps its header. */
  const responseHeaders = (rawHeaders: string[], headers: ReadonlyMap<string, string>): string[] => {
    const length = isHeadRequest ? headers.get('content-length') : undefined
    return [...forwardedHeaders(rawHeaders, NO_HEADERS), ...length === undefined ? [] : ['Content-Length', length]]
  }

  const releaseBuffered = (): void => {
    options.budget.release(bufferedBytes)
    bufferedBytes = 0
    buffered.clear()
    splitter.discardRest()
  }

  const fail = (failure: AttemptFailure, reason: string): void => {
    if (ended) return
    ended = true
    releaseBuffered()
    exchange.abort()
    options.onFailure(failure, reason)
  }

  const onHead = (status: number, headers: Map<string, string>, rawHeaders: string[], framed: boolean): void => {
    const metadata = options.wire.decodeResponse(headers)
    // A late response to an earlier request may arrive in place of this one's. Forwarding it would give a caller the response to another request.
    if (metadata.requestId !== undefined && metadata.requestId !== options.requestId) {
      fail('may_have_run', 'answer_of_another_request')
      return
    }
    if (headers.has('content-encoding') || hasCodedBody(headers)) {
      fail('may_have_run', 'encoded_answer')
      return
    }
    const events = options.streams && status === 200 && isEventStream(headers)
    head = { status, rawHeaders: responseHeaders(rawHeaders, headers), metadata, events, framed }
    if (refusalOf(status, metadata) !== undefined) return
    if (!metadata.signed || metadata.requestId === undefined) {
      fail('may_have_run', 'unsigned_answer')
      return
    }
    if (events) options.onHead(head)
  }

  /** @returns why a block cannot follow the previous ones; undefined if it can */
  const sequenceError = (block: EventBlock): string | undefined => {
    if (block.id === undefined) return options.resumable && !holdsNoEvent(block) ? 'event_without_id' : undefined
    return lastEventId !== undefined && block.id !== lastEventId + 1 ? 'events_out_of_order' : undefined
  }

  /** @returns whether the budget allows this many bytes in all; the attempt has failed if not */
  const holdBytes = (bytes: number): boolean => {
    const addedBytes = bytes - bufferedBytes
    if (addedBytes > 0 && !options.budget.tryTake(addedBytes)) {
      fail('may_have_run', 'answer_too_large')
      return false
    }
    if (addedBytes < 0) options.budget.release(-addedBytes)
    bufferedBytes = bytes
    return true
  }

  const onEvents = (chunk: Buffer): void => {
    for (const block of splitter.push(chunk)) {
      const reason = sequenceError(block)
      if (reason !== undefined) {
        fail('may_have_run', reason)
        return
      }
      lastEventId = block.id ?? lastEventId
      hasEvent ||= block.id !== undefined || !holdsNoEvent(block)
      options.onEvent(block.bytes, block.id, block.data)
      if (ended) return
    }
    holdBytes(splitter.restLength())
  }

  const onBufferedData = (chunk: Buffer): void => {
    if (bufferedBytes + chunk.length > MAX_BUFFERED_RESPONSE_BYTES) fail('may_have_run', 'answer_too_large')
    else if (holdBytes(bufferedBytes + chunk.length)) buffered.append(chunk)
  }

  const onData = (chunk: Buffer): void => {
    if (ended || head === undefined) return
    if (!head.events) {
      onBufferedData(chunk)
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
    const refusal = refusalOf(head.status, head.metadata)
    if (refusal !== undefined) {
      fail('not_run', refusal)
      return
    }
    if (head.events && splitter.restLength() > 0) {
      fail('may_have_run', 'cut_within_an_event')
      return
    }
    // A stream from the start has at least one event, since work on a request begins with its first event.
    if (head.events && !hasEvent && !isHeadRequest) {
      fail('may_have_run', 'no_events')
      return
    }
    // These statuses tell the client that the request has not run, which the endpoint has not stated.
    if (head.status === 503 || head.status === 429 || head.status === 408) {
      fail('may_have_run', 'refusal_without_proof')
      return
    }
    ended = true
    const body = buffered.bytes()
    releaseBuffered()
    const response = head.events ? undefined : { status: head.status, rawHeaders: head.rawHeaders, body }
    if (!head.framed && head.status < FIRST_STATUS_AFTER_SUCCESS) options.onUnconfirmedEnd(response)
    else if (response === undefined) options.onStreamEnd()
    else options.onResponse(response)
  }

  const onFailure = ({ notSent, reason }: ExchangeFailure): void => {
    // The head of a refusal is all that matters of it, but one that breaks off before its stated length is not trusted.
    const refusal = head === undefined || head.framed ? undefined : refusalOf(head.status, head.metadata)
    if (refusal !== undefined) fail('not_run', refusal)
    else fail(notSent ? 'not_run' : 'may_have_run', reason)
  }

  const exchange: Exchange = startExchange(options.pool, options.request, {
    onHead,
    onData,
    onComplete,
    onFailure
  })
  return {
    mayHaveRun: exchange.mayHaveBeenSent,
    abort: () => {
      ended = true
      releaseBuffered()
      exchange.abort()
    }
  }
}
