/** Origins of streams at a gateway: binds each stream to the software version that began it, across the fleet. */
import type { PeerMessage } from '../endpoints/peerMessages'
import { parsePeerAddress, type PeerAddress } from '../endpoints/peerSocket'
import { type PeerGateway, rankKeepers } from '../streams/keepers'
import { createKnownVersions } from '../streams/knownVersions'
import { createStreamOrigins, type StreamOrigins } from '../streams/streamOrigins'
import { MAX_FRESH_LIST_AGE_MS } from '../streams/versionHistory'
import { shareVersions } from '../streams/versionRows'
import { DEFAULT_PARTITIONS, type PlatformView } from './followPlatform'
import type { RoleContext } from './types'

/** Options of `createGatewayStreams`. */
export interface GatewayStreamsOptions {
  context: RoleContext
  view: PlatformView
  send: (message: PeerMessage, to: PeerAddress) => void
  signal: AbortSignal
}

/** Refresh interval of the list of gateways, which changes every few seconds at most. */
const GATEWAYS_REFRESH_MS = 1000

/** Gateways that share the versions of a service through the store, in case some of them are lost. */
const WRITER_COUNT = 3

/**
 * @param options - context, copies of the state in the store, and sender of peer messages
 * @returns the origins of streams
 */
export function createGatewayStreams ({ context, view, send, signal }: GatewayStreamsOptions): StreamOrigins {
  const { settings, store, clock, log, wire } = context
  const { versions: history, originRetentionMs: retentionMs } = view
  const gateways = createGatewayList(context, view)
  const own: PeerGateway = { name: settings.name, address: { ip: settings.ip, port: settings.peerPort } }
  const table = wire.operator.endpointTable
  const freshness = view.freshness(table)

  const rows = shareVersions({
    store,
    clock,
    log,
    unusable: view.unusableRows,
    history,
    retentionMs,
    followedSinceMs: freshness.followedSinceMs,
    isFirstStart: settings.isFirstStart,
    isListFresh: () => freshness.ageMs() <= MAX_FRESH_LIST_AGE_MS,
    writes: service => rankKeepers([own, ...gateways()], service).slice(0, WRITER_COUNT).includes(own),
    signal
  })

  const readList = async (): Promise<boolean> => {
    const read = await store.readRows({ table, partition: DEFAULT_PARTITIONS[0] })
    if (read.err) return false
    for (const row of read.val.rows) {
      const decoded = wire.operator.decodeEndpoint(row)
      if (decoded.row === 'endpoint') history.onReported(decoded.endpoint.service, [decoded.endpoint.softwareVersion])
    }
    return true
  }

  const versions = createKnownVersions({
    clock,
    history,
    rows,
    retentionMs,
    listAgeMs: freshness.ageMs,
    followedSinceMs: freshness.followedSinceMs,
    isFeedOverdue: freshness.isOverdue,
    readList
  })
  return createStreamOrigins({ clock, history, versions, retentionMs, send, gateways })
}

/** @returns a function that returns the other live gateways, at most one second old */
function createGatewayList ({ settings, store, clock }: RoleContext, { work }: PlatformView): () => readonly PeerGateway[] {
  let current: PeerGateway[] = []
  let readAtMs = -Infinity
  return () => {
    const nowMs = clock.nowMs()
    // An empty list is not reused: shortly after the start, the gateways have not been listed yet.
    if (current.length > 0 && nowMs - readAtMs < GATEWAYS_REFRESH_MS) return current
    readAtMs = nowMs
    const storeNowMs = store.storeNowMs() ?? 0
    const live = [...work.members()].map(({ record }) => record).filter(({ role, name, aliveUntilMs }) => role === 'gateway' && name !== settings.name && aliveUntilMs > storeNowMs)
    current = live.map(({ name, peerAddress }) => ({ name, address: parsePeerAddress(peerAddress) }))
    return current
  }
}
