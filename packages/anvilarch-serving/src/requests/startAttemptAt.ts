/** Starts one of the attempts of a request. */
import type { Endpoint } from '../model/types'
import { attemptRequestOf } from './attemptRequest'
import type { ClientRequest, ForwardParts, RequestState } from './forwardTypes'
import type { AttemptFailure } from './retryDecision'
import { type Attempt, type EndpointResponse, type ResponseHead, startAttempt } from './runAttempt'
import type { RunningAttempt } from './runningAttempts'

/** Handlers of what comes from an endpoint. */
export interface AttemptHandlers {
  onHead: (entry: RunningAttempt, head: ResponseHead) => void
  /** A block that has neither an id nor data. */
  onComment: (entry: RunningAttempt, bytes: Buffer) => void
  onEvent: (entry: RunningAttempt, bytes: Buffer, id: number | undefined) => void
  onStreamEnd: (entry: RunningAttempt) => void
  onUnconfirmedEnd: (entry: RunningAttempt, response: EndpointResponse | undefined) => void
  onResponse: (entry: RunningAttempt, response: EndpointResponse) => void
  onFailure: (entry: RunningAttempt, failure: AttemptFailure, reason: string) => void
}

/** Options of `startAttemptAt`. */
export interface StartOptions {
  parts: ForwardParts
  client: ClientRequest
  state: RequestState
  endpoint: Endpoint
  entry: RunningAttempt
  handlers: AttemptHandlers
}

/**
 * @param options - the request, its endpoint and the handlers
 * @returns the attempt, whose request is being sent
 */
export function startAttemptAt ({ parts, client, state, endpoint, entry, handlers }: StartOptions): Attempt {
  const { route, metadata } = client
  return startAttempt({
    pool: parts.pools.poolOf(endpoint),
    wire: parts.wire,
    requestId: metadata.requestId,
    request: attemptRequestOf(parts, client, state, endpoint),
    streams: route.kind === 'stream',
    afterEventId: state.lastEventId,
    resumable: route.resumable,
    budget: parts.responseBudget,
    onHead: head => handlers.onHead(entry, head),
    onEvent: (bytes, id, data) => id === undefined && data === '' ? handlers.onComment(entry, bytes) : handlers.onEvent(entry, bytes, id),
    onStreamEnd: () => handlers.onStreamEnd(entry),
    onUnconfirmedEnd: response => handlers.onUnconfirmedEnd(entry, response),
    onResponse: response => handlers.onResponse(entry, response),
    onFailure: (failure, reason) => handlers.onFailure(entry, failure, reason)
  })
}
