/** Builds the request that an attempt sends to an endpoint. */
import { forwardedCallerOf } from '../accounts/types'
import type { ExchangeRequest } from '../endpoints/exchange'
import type { Endpoint } from '../model/types'
import type { ClientRequest, ForwardParts, RequestState } from './forwardTypes'

/**
 * @param parts - wire and clock
 * @param client - the request as the client sent it
 * @param state - progress of the request; a stream resumes after its last event
 * @param endpoint - the endpoint
 * @returns the request
 */
export function attemptRequestOf (parts: Pick<ForwardParts, 'wire' | 'clock'>, client: ClientRequest, state: RequestState, endpoint: Endpoint): ExchangeRequest {
  const { request, body } = client
  return {
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: parts.wire.encodeSend(request.rawHeaders, {
      deadlineMs: Math.max(1, Math.floor(state.deadlineAtMs - parts.clock.nowMs())),
      expectedEndpointId: endpoint.id,
      lastEventId: state.lastEventId,
      caller: forwardedCallerOf(client.caller)
    }),
    body: body.length > 0 ? body : undefined
  }
}

/**
 * @param client - the request as the client sent it
 * @param state - progress of the request
 * @returns whether the next send is the first one, begins again, or resumes a stream after its last event
 */
export function sendKindOf ({ metadata }: ClientRequest, state: RequestState): 'first' | 'again' | 'resumed' {
  if (state.sendCount === 0) return 'first'
  return state.lastEventId === metadata.lastEventId ? 'again' : 'resumed'
}
