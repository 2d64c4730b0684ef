/** The endpoint's and the client's side of a request that a harness forwards. */
import type { ConnectionEnd } from 'anvilarch-utils'

/** Handler of an exchange, as undici calls it. */
export interface ExchangeHandler {
  onConnect: (abort: () => void) => void
  onHeaders: (status: number, rawHeaders: Buffer[]) => void
  onData: (chunk: Buffer) => void
  onComplete: () => void
  onError: (error: Error) => void
}

/** A request as an endpoint received it. */
export interface SentRequest {
  endpoint: string
  sentAtMs: number
  /** Time limit that the endpoint received. */
  deadlineMs: number
  /** Id of the event after which the endpoint is to resume the stream. */
  lastEventId: number | undefined
  /** Whether there is a connection. It is made immediately unless `onSend` returns false. */
  connected: boolean
  aborted: boolean
  /** Handler of the exchange, for endings that have no method here. */
  exchange: Omit<ExchangeHandler, 'onConnect'>
  /** Sends an event, and the head before the first one. */
  event: (id: number) => void
  /** Sends any block of a stream of events, given without its closing empty line. */
  block: (text: string) => void
  /** Ends the stream. */
  endEvents: () => void
  /** Sends a complete response that is not a stream of events. */
  respond: (status?: number, body?: string) => void
  /** States that the request has not run, as a full endpoint does. */
  refuse: () => void
  /** Resets the connection. */
  reset: () => void
  /** Ends a response that has no length, as the end of its connection does. */
  endConnection: (end: ConnectionEnd) => void
}

/** The response as the client received it. */
export interface ClientView {
  status: number | undefined
  /** Retry-After of a refusal; undefined without one. */
  retryAfterMs: number | undefined
  headers: string[]
  body: string
  ended: boolean
  destroyed: boolean
  /** Whether the head was sent before the rest of the response was available. */
  responseStarted: boolean
  /** Whether the client has closed its connection. */
  disconnected: boolean
  /** Time at which the response ended or was cut. */
  endedAtMs: number | undefined
  /** Number of heads that were sent. More than one is a fault of the gateway. */
  headCount: number
  /** Number of writes after the end of the response. Any is a fault of the gateway. */
  writesAfterEnd: number
}
