/** Binds the request of a stream to the endpoints that may continue it. */
import type { Endpoint } from '../model/types'
import type { StreamOrigin } from '../streams/types'
import type { EventFields } from '../telemetry/events'
import type { GatewayResponse } from './clientResponse'
import type { ClientRequest, ForwardParts, RequestState } from './forwardTypes'

/** Why a stream that the client resumes is refused. */
type Refusal = EventFields['stream not resumed']['reason']

/** Responses without `Retry-After`: a later retry would not succeed either, and the client can restart the stream at once. */
const REFUSALS: Record<Refusal, GatewayResponse> = {
  origin_unknown: {
    status: 503,
    code: 'origin_unknown',
    message: 'it is not known which software version began this stream, and another one cannot continue it'
  },
  service_not_routed: {
    status: 503,
    code: 'service_not_routed',
    message: 'the route no longer leads to the service that began this stream, and another one cannot continue it'
  }
}

/** @returns whether the client resumes a stream of which it has events */
export function resumesStream ({ route, metadata }: ClientRequest): boolean {
  return route.kind === 'stream' && (metadata.lastEventId ?? 0) > 0
}

/** @returns id of the client attempt that began the stream */
export function streamIdOf (client: ClientRequest): string {
  const { resumesRequestId, requestId } = client.metadata
  return resumesStream(client) ? resumesRequestId ?? requestId : requestId
}

/**
 * Binds a stream that the client resumes to the service and software version that began it.
 *
 * @param parts - origins of streams and log
 * @param client - a request for which `resumesStream` is true
 * @param state - progress of the request; its service and origin are set
 * @returns the refusal of the request; undefined if it may be sent
 */
export async function bindStream (parts: ForwardParts, client: ClientRequest, state: RequestState): Promise<GatewayResponse | undefined> {
  const { route, metadata } = client
  const services = route.targets.filter(target => target.weight > 0).map(target => target.service)
  const result = await parts.streamOrigins.resolve(metadata.resumesRequestId, services)
  if (result.resolution === 'single') {
    state.origin = singleOrigin(state.service, result.versions)
    return undefined
  }
  if (result.resolution === 'bound' && services.includes(result.origin.service)) {
    state.service = result.origin.service
    state.origin = result.origin
    return undefined
  }
  const reason: Refusal = result.resolution === 'unknown' ? 'origin_unknown' : 'service_not_routed'
  parts.log.info('stream not resumed', { requestId: metadata.requestId, resumesRequestId: metadata.resumesRequestId, reason })
  return REFUSALS[reason]
}

/** @returns the origin of a stream of a service that has had one version; undefined if the service has no endpoints */
function singleOrigin (service: string | undefined, versions: ReadonlyMap<string, string>): StreamOrigin | undefined {
  const softwareVersion = service === undefined ? undefined : versions.get(service)
  return service === undefined || softwareVersion === undefined ? undefined : { service, softwareVersion }
}

/**
 * Records the origin of a stream before its head is sent to the client.
 *
 * @param parts - origins of streams
 * @param client - the request
 * @param state - progress of the request; its origin is set unless the stream is bound already
 * @param endpoint - endpoint that begins or continues the stream
 */
export function recordOrigin (parts: ForwardParts, client: ClientRequest, state: RequestState, endpoint: Endpoint): void {
  state.origin ??= { service: endpoint.service, softwareVersion: endpoint.softwareVersion }
  parts.streamOrigins.onStarted(streamIdOf(client), state.origin)
}

/**
 * Counts a send that continues a stream, by who resumes it and whether the software version is the one that began it.
 *
 * @param parts - metrics
 * @param state - progress of the request
 * @param endpoint - endpoint that is to continue the stream
 */
export function countResumption (parts: ForwardParts, state: RequestState, endpoint: Endpoint): void {
  if (state.lastEventId === undefined) return
  const version = state.origin?.softwareVersion === endpoint.softwareVersion ? 'same' : 'other'
  parts.metrics.streamResumptions.inc({ by: state.responseStarted ? 'gateway' : 'client', version })
}
