/** Binds each stream to the service and software version that began it, also when its client resumes it at another gateway. */
import type { Clock } from 'anvilarch-utils'
import type { PeerMessage } from '../endpoints/peerMessages'
import type { PeerAddress } from '../endpoints/peerSocket'
import { KEEPER_COUNT, type PeerGateway, rankKeepers } from './keepers'
import type { KnownVersions } from './knownVersions'
import { createOriginQueries } from './originQueries'
import { createOriginTable } from './originTable'
import type { StreamOrigin } from './types'
import type { VersionHistory } from './versionHistory'

/**
 * What a resumed stream is bound to. `bound`: its origin is known. `single`: each service has had one version, which is given by
 * service. `unknown`: no endpoint may continue it, since several versions may have begun it.
 */
export type OriginResolution =
  | { resolution: 'bound', origin: StreamOrigin }
  | { resolution: 'single', versions: ReadonlyMap<string, string> }
  | { resolution: 'unknown' }

/** Origins of streams at a gateway. */
export interface StreamOrigins {
  /**
   * @param requestId - id of the client attempt that began the stream; undefined if the client does not name it
   * @param services - services that the route may use
   * @returns what the stream is bound to
   */
  resolve: (requestId: string | undefined, services: readonly string[]) => Promise<OriginResolution>
  /** Records the origin of a stream before its first event is sent to the client. */
  onStarted: (requestId: string, origin: StreamOrigin) => void
  onEnded: (requestId: string) => void
  /** Handles a message from another gateway. */
  onMessage: (message: PeerMessage, from: PeerAddress) => void
}

/** Options of `createStreamOrigins`. */
export interface StreamOriginsOptions {
  clock: Clock
  history: VersionHistory
  versions: KnownVersions
  retentionMs: () => number
  send: (message: PeerMessage, to: PeerAddress) => void
  /** @returns the other live gateways */
  gateways: () => readonly PeerGateway[]
}

/**
 * While a service has one version, origins stay in this process. Otherwise they are also sent to other gateways, because clients
 * resume streams when their gateway is lost.
 *
 * @param options - versions, gateways and sender
 * @returns origins, none recorded
 */
export function createStreamOrigins (options: StreamOriginsOptions): StreamOrigins {
  const { clock, versions, send, gateways } = options
  const table = createOriginTable(clock, options.retentionMs)
  const queries = createOriginQueries({ clock, send, gateways })
  const inProgress = new Map<string, StreamOrigin>()

  const replicate = (requestId: string, origin: StreamOrigin): void => {
    for (const { address } of rankKeepers(gateways(), requestId).slice(0, KEEPER_COUNT)) send({ message: 'origin_record', requestId, ...origin }, address)
  }

  options.history.onChange(service => {
    if (!versions.mayBeSeveral(service)) return
    for (const [requestId, origin] of inProgress) if (origin.service === service) replicate(requestId, origin)
  })

  const handlers: Partial<{ [Kind in PeerMessage['message']]: (message: Extract<PeerMessage, { message: Kind }>, from: PeerAddress) => void }> = {
    origin_record: ({ requestId, service, softwareVersion }) => table.record(requestId, { service, softwareVersion }),
    origin_query: ({ correlationId, requestId }, from) => send({ message: 'origin_response', correlationId, origin: table.find(requestId) }, from),
    origin_response: queries.onResponse
  }

  return {
    resolve: async (requestId, services) => {
      const recorded = requestId === undefined ? undefined : table.find(requestId)
      if (recorded !== undefined) return { resolution: 'bound', origin: recorded }
      const singleVersions = await versions.singleVersions(services)
      if (singleVersions !== undefined) return { resolution: 'single', versions: singleVersions }
      const found = requestId === undefined ? undefined : await queries.find(requestId)
      return found === undefined ? { resolution: 'unknown' } : { resolution: 'bound', origin: found }
    },
    onStarted: (requestId, origin) => {
      table.record(requestId, origin)
      inProgress.set(requestId, origin)
      if (versions.mayBeSeveral(origin.service)) replicate(requestId, origin)
    },
    onEnded: requestId => { inProgress.delete(requestId) },
    onMessage: (message, from) => handlers[message.message]?.(message as never, from)
  }
}
