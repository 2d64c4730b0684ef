/** Opens one connection to an engine and reads its response to the end. */
import type { Clock, ResponseFraming } from 'anvilarch-utils'
import type { EndpointCall, Headers } from '../../attempts/types'
import type { WatchedDispatcher } from './connections'
import { createEngineEventReader, type EngineEvent } from './engineEvents'
import { BROKEN_OFF, type ExchangeEnd, type HttpExchange, openExchange, parseOrUndefined } from './httpExchange'

/** How a connection ended. */
export type ConnectionEnd =
  /** The end mark of the stream was received. */
  | { kind: 'finished' }
  /** The engine sent a complete response that is not a stream, such as an error. */
  | { kind: 'responded' }
  /** The same, but the response was truncated. */
  | { kind: 'truncated' }
  /** The engine has no stream to resume. */
  | { kind: 'unknown_stream' }
  | { kind: 'broken', sent: boolean, detail: string }

/** Callbacks for the response of the engine. */
export interface EngineListener {
  /** A stream has started. */
  onStream: (headers: Headers) => void
  onEvent: (event: EngineEvent) => void
  /** A response that is not a stream has started. */
  onNonStreamHead: (status: number, headers: Headers) => void
  onNonStreamData: (data: Uint8Array) => void
}

/** Options of `openEngineConnection`. */
export interface EngineConnectionOptions {
  dispatcher: WatchedDispatcher
  clock: Clock
  call: EndpointCall
  /** The call resumes a stream. */
  isResume: boolean
  /** Whether to accept a response that is not a stream as the result; otherwise it is a failed try. */
  acceptsNonStream: boolean
}

/** A connection in progress. */
export interface EngineConnection {
  exchange: HttpExchange
  end: Promise<ConnectionEnd>
}

type Phase = 'opening' | 'streaming' | 'finished' | 'responding' | 'unknown_stream' | 'failed'

const MIN_NON_SUCCESS_STATUS = 300
const STATUS_UNKNOWN_STREAM = 404
/** The engine already has the attempt, so that it must be resumed. */
const STATUS_ATTEMPT_EXISTS = 409

/**
 * @param options - the call and its connection
 * @param listener - callbacks for the response
 * @returns the connection
 */
export function openEngineConnection (options: EngineConnectionOptions, listener: EngineListener): EngineConnection {
  let phase: Phase = 'opening'
  let status = 0
  let bodyToParse: Uint8Array[] | undefined
  const events = createEngineEventReader(event => {
    if (phase !== 'streaming') return
    if (event.isEnd) phase = 'finished'
    listener.onEvent(event)
  })

  const onHead = (receivedStatus: number, headers: Headers, framing: ResponseFraming): void => {
    status = receivedStatus
    phase = phaseOf(options, status, headers)
    bodyToParse = framing === 'framed' || status >= MIN_NON_SUCCESS_STATUS || !mayBeJson(headers) ? undefined : []
    if (phase === 'streaming') listener.onStream(headers)
    else if (phase === 'responding') listener.onNonStreamHead(status, headers)
  }

  const exchange = openExchange(options.dispatcher, options.call, {
    onHead,
    onData: data => {
      if (phase === 'responding') {
        bodyToParse?.push(data)
        listener.onNonStreamData(data)
      } else if (phase === 'streaming') events.feed(data)
    }
  }, options.clock)

  return { exchange, end: exchange.done.then(exchangeEnd => connectionEnd(phase, exchangeEnd, { status, bodyToParse })) }
}

function phaseOf (options: EngineConnectionOptions, status: number, headers: Headers): Phase {
  if (status === 200 && (headers['content-type'] ?? '').startsWith('text/event-stream')) return 'streaming'
  if (options.isResume && status === STATUS_UNKNOWN_STREAM) return 'unknown_stream'
  return options.acceptsNonStream && !options.isResume && status !== STATUS_ATTEMPT_EXISTS ? 'responding' : 'failed'
}

interface ReceivedResponse {
  status: number
  /** Body of a successful response without a length, unless it is of another type than JSON; undefined for all others. */
  bodyToParse: Uint8Array[] | undefined
}

function connectionEnd (phase: Phase, end: ExchangeEnd, received: ReceivedResponse): ConnectionEnd {
  if (phase === 'finished' || phase === 'unknown_stream') return { kind: phase }
  if (phase === 'responding') return { kind: isCompleteResponse(end, received) ? 'responded' : 'truncated' }
  const sent = end.kind === 'complete' || end.sent
  if (phase === 'failed') return { kind: 'broken', sent, detail: `status ${received.status}` }
  return { kind: 'broken', sent, detail: end.kind === 'error' ? `${end.code}: ${end.detail}` : 'the stream broke off before its end' }
}

/**
 * A body without a length or chunks is complete after an orderly close. It must also parse if it is JSON, since the connections of a
 * killed process are closed in order too. The body of an error response may be truncated, since its status suffices.
 */
function isCompleteResponse (end: ExchangeEnd, { status, bodyToParse }: ReceivedResponse): boolean {
  if (end.kind === 'error' && end.code === BROKEN_OFF) return status >= MIN_NON_SUCCESS_STATUS
  if (end.kind !== 'complete') return false
  return bodyToParse === undefined || parseOrUndefined(Buffer.concat(bodyToParse).toString('utf8')) !== undefined
}

/** Responses of engines are JSON unless they name another type. */
function mayBeJson (headers: Headers): boolean {
  return /json|^$/i.test(headers['content-type'] ?? '')
}
