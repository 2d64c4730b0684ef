/** One connection to an engine, read to its end. */
import type { Dispatcher } from 'undici'
import type { Clock } from 'anvilarch-utils'
import type { EndpointCall, Headers } from '../../attempts/types'
import { createEngineEventReader, type EngineEvent } from './engineEvents'
import { type ExchangeEnd, type HttpExchange, openExchange, parseOrUndefined } from './httpExchange'

/** What ended a connection. */
export type ConnectionEnd =
  /** The end mark came. */
  | { kind: 'finished' }
  /** The engine gave an answer that is not a stream, such as an error; it was read whole. */
  | { kind: 'answered' }
  /** The same, but it broke off. */
  | { kind: 'half_answered' }
  /** The engine does not know the stream that was to be resumed. */
  | { kind: 'unknown_stream' }
  | { kind: 'broken', sent: boolean, detail: string }

/** Takes what the engine sends. */
export interface EngineListener {
  /** A stream opens. */
  onStream: (headers: Headers) => void
  onEvent: (event: EngineEvent) => void
  /** An answer that is not a stream. */
  onPlainResponse: (status: number, headers: Headers) => void
  onPlainResponseData: (data: Uint8Array) => void
}

/** How to open the connection. */
export interface EngineConnectionOptions {
  dispatcher: Dispatcher
  clock: Clock
  call: EndpointCall
  /** The call is to attach to a stream. */
  isResume: boolean
  /** A status other than 200 is the engine's answer; else it is a failed try. */
  acceptsPlainResponse: boolean
}

/** A connection that is being read. */
export interface EngineConnection {
  exchange: HttpExchange
  end: Promise<ConnectionEnd>
}

type Phase = 'opening' | 'streaming' | 'finished' | 'answering' | 'unknown_stream' | 'failed'

const MIN_NON_SUCCESS_STATUS = 300
const STATUS_UNKNOWN_STREAM = 404
/** The engine has the attempt already; it is to be resumed. */
const STATUS_ATTEMPT_EXISTS = 409

/**
 * @param options - what to send and over which connection
 * @param listener - takes what comes
 * @returns the connection
 */
export function openEngineConnection (options: EngineConnectionOptions, listener: EngineListener): EngineConnection {
  let phase: Phase = 'opening'
  let status = 0
  let unframedBody: Uint8Array[] | undefined
  const events = createEngineEventReader(event => {
    if (phase !== 'streaming') return
    if (event.isEnd) phase = 'finished'
    listener.onEvent(event)
  })

  const onHead = (receivedStatus: number, headers: Headers, framed: boolean): void => {
    status = receivedStatus
    phase = phaseOf(options, status, headers)
    unframedBody = framed || status >= MIN_NON_SUCCESS_STATUS ? undefined : []
    if (phase === 'streaming') listener.onStream(headers)
    else if (phase === 'answering') listener.onPlainResponse(status, headers)
  }

  const exchange = openExchange(options.dispatcher, options.call, {
    onHead,
    onData: data => {
      if (phase === 'answering') {
        unframedBody?.push(data)
        listener.onPlainResponseData(data)
      } else if (phase === 'streaming') events.feed(data)
    }
  }, options.clock)

  return { exchange, end: exchange.done.then(exchangeEnd => connectionEnd(phase, exchangeEnd, { status, unframedBody })) }
}

function phaseOf (options: EngineConnectionOptions, status: number, headers: Headers): Phase {
  if (status === 200 && (headers['content-type'] ?? '').startsWith('text/event-stream')) return 'streaming'
  if (options.isResume && status === STATUS_UNKNOWN_STREAM) return 'unknown_stream'
  return options.acceptsPlainResponse && !options.isResume && status !== STATUS_ATTEMPT_EXISTS ? 'answering' : 'failed'
}

interface ReceivedResponse {
  status: number
  /** Body of an answer of which neither a frame nor the status says that it is whole. */
  unframedBody: Uint8Array[] | undefined
}

function connectionEnd (phase: Phase, end: ExchangeEnd, received: ReceivedResponse): ConnectionEnd {
  if (phase === 'finished' || phase === 'unknown_stream') return { kind: phase }
  if (phase === 'answering') return { kind: isCompleteResponse(end, received) ? 'answered' : 'half_answered' }
  const sent = end.kind === 'complete' || end.sent
  if (phase === 'failed') return { kind: 'broken', sent, detail: `status ${received.status}` }
  return { kind: 'broken', sent, detail: end.kind === 'error' ? `${end.code}: ${end.detail}` : 'the stream broke off before its end' }
}

/** Without a frame, only a body that is JSON to its end is known to be whole. An error is told by its status alone. */
function isCompleteResponse (end: ExchangeEnd, { unframedBody: unproved }: ReceivedResponse): boolean {
  if (end.kind !== 'complete') return false
  return unproved === undefined || parseOrUndefined(Buffer.concat(unproved).toString('utf8')) !== undefined
}
