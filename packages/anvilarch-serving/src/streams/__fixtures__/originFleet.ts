/** Gateways on a fake clock that begin and resume streams while endpoints of several software versions come and go. */
import { type Clock, createFakeClock, createRandom, type FakeClock, type Random, SILENT_LOGGER } from 'anvilarch-utils'
import { createEndpointTable, type EndpointTable } from '../../endpoints/endpointTable'
import type { PeerMessage } from '../../endpoints/peerMessages'
import type { PeerAddress } from '../../endpoints/peerSocket'
import type { EndpointRow } from '../../model/types'
import { followTable } from '../../store/tableFollower'
import { NO_REPORTS } from '../../store/unusableRows'
import { createTableFreshness } from '../../store/tableFreshness'
import type { StoredRow } from '../../store/types'
import type { EventLog } from '../../telemetry/events'
import { createOriginStore } from './originStore'
import { createStoreOrigins } from './storeOrigins'
import { createKnownVersions } from '../knownVersions'
import { createStreamOrigins, type StreamOrigins } from '../streamOrigins'
import { createVersionHistory, MAX_FRESH_LIST_AGE_MS } from '../versionHistory'
import { decodeVersionRecord } from '../versionRecord'
import { shareVersions, VERSION_TABLE } from '../versionRows'

export const SERVICE = 's'

/** How long streams last at most. */
export const RETENTION_MS = 10_000

const ENDPOINT_TABLE = 'endpoints'
const PARTITION = ''

/** Wait of a long poll, and pause after one that has brought changes. */
const FEED_WAIT_MS = 2000
const FEED_INTERVAL_MS = 250

/** Longest time between two heartbeats of the endpoints together, in a large, a small and a tiny fleet. */
const MAX_HEARTBEAT_MS = [100, 800, 4000]

/** Gateways that write rows of versions first. */
const FIRST_WRITERS: ReadonlySet<string> = new Set(['g0', 'g1', 'g2'])

/** One start of a gateway. */
export interface FleetGateway {
  name: string
  address: PeerAddress
  origins: StreamOrigins
  endpoints: EndpointTable
  alive: boolean
  /** Whether it reaches the store. */
  inTouch: boolean
  /** Whether it reaches the other gateways. */
  reachesPeers: boolean
  /** End of the current process pause. */
  stillUntilMs: number
  /** Time since which it has had no fault of its own. */
  calmSinceMs: number
  stop: () => void
}

/** Where gateways keep origins: at other gateways, or in the store. */
export type OriginKeeping = 'peers' | 'store'

/** Kind of process pause. While its host is suspended, the monotonic clock of the process stops. */
export type Standstill = 'stopped' | 'suspended'

/** The fleet. */
export interface OriginFleet {
  clock: FakeClock
  random: Random
  gateways: FleetGateway[]
  /** Software versions of the endpoints in the store. */
  storeVersions: () => string[]
  /** Starts an endpoint of a version, or ends the one that it has. */
  setListed: (softwareVersion: string, listed: boolean) => void
  /** @returns whether the record in the store has named the version at some time since */
  isRecorded: (softwareVersion: string, sinceMs: number) => boolean
  /** Sets the share of writes to the store that it refuses. */
  setWriteFailureShare: (share: number) => void
  kill: (gateway: FleetGateway) => void
  /** Replaces a killed gateway by a new start of the same name. */
  restart: (gateway: FleetGateway) => FleetGateway
  /** Cuts a gateway off from the store, and maybe from the other gateways, or connects it again. */
  setInTouch: (gateway: FleetGateway, inTouch: boolean) => void
  standStill: (gateway: FleetGateway, durationMs: number, standstill: Standstill) => void
  /** @returns a promise that resolves at once, or soon after the process runs again */
  running: (gateway: FleetGateway) => Promise<void>
  /** @returns a version at which the gateway may begin a stream; undefined if it knows no endpoint */
  versionForNewStream: (gateway: FleetGateway) => string | undefined
  advance: (durationMs: number) => Promise<void>
  /** Datagrams and store calls so far, without those of the feed. */
  costs: () => { datagrams: number, storeWrites: number, storeReads: number }
}

/** Links and running of one gateway. */
interface GatewayState {
  lostMs: number
  waitingForLink: Array<() => void>
  waitingForRun: Array<() => void>
}

function endpointOf ({ key, value, version }: StoredRow): EndpointRow {
  const softwareVersion = value.toString()
  return { row: 'endpoint', endpoint: { id: key, bornAtMs: undefined, startId: key, service: SERVICE, address: key, failureDomain: 'a', softwareVersion, slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: version } }
}

/**
 * @param seed - seed of the run
 * @param gatewayCount - number of gateways
 * @param lossShare - share of datagrams that are lost
 * @param keeping - where gateways keep origins
 * @returns a fleet that has listed one endpoint of version v1
 */
export function createOriginFleet (seed: number, gatewayCount: number, lossShare: number, keeping: OriginKeeping = 'peers'): OriginFleet {
  const clock = createFakeClock(1000)
  const random = createRandom(seed)
  const store = createOriginStore({ clock, random, keptTable: VERSION_TABLE })
  const maxHeartbeatMs = random.pick(MAX_HEARTBEAT_MS)
  /** Ids of the listed endpoints by software version. */
  const listed = new Map<string, string>()
  const gateways: FleetGateway[] = []
  const states = new Map<FleetGateway, GatewayState>()
  const ports = new Map<string, number>()
  let endpointCount = 0
  let hasRestarted = false
  let datagrams = 0

  const rowKey = (key: string): { table: string, partition: string, key: string } => ({ table: ENDPOINT_TABLE, partition: PARTITION, key })

  const setListed = (version: string, isListed: boolean): void => {
    const id = listed.get(version) ?? `e${endpointCount++}`
    if (isListed) {
      listed.set(version, id)
      store.put(rowKey(id), Buffer.from(version))
    } else {
      listed.delete(version)
      store.remove(rowKey(id))
    }
  }

  const heartbeat = (): void => {
    const versions = [...listed]
    if (versions.length > 0) {
      const [version, id] = random.pick(versions)
      store.put(rowKey(id), Buffer.from(version))
    }
    clock.after(random.between(1, maxHeartbeatMs), heartbeat)
  }

  const stateOf = (gateway: FleetGateway): GatewayState => {
    const state = states.get(gateway) ?? { lostMs: 0, waitingForLink: [], waitingForRun: [] }
    states.set(gateway, state)
    return state
  }

  const whenRunning = (gateway: FleetGateway, run: () => void): void => {
    if (clock.nowMs() < gateway.stillUntilMs) stateOf(gateway).waitingForRun.push(run)
    else run()
  }

  /** What waits is handled in any order, each with its promises, as by the event loop of a process that goes on. */
  const goOn = (gateway: FleetGateway): void => {
    const waiting = stateOf(gateway).waitingForRun.splice(0)
    for (const run of waiting) clock.after(random.next(), () => whenRunning(gateway, run))
  }

  const clockOf = (gateway: () => FleetGateway): Clock => ({
    nowMs: () => clock.nowMs() - stateOf(gateway()).lostMs,
    wallMs: () => clock.nowMs(),
    after: (delayMs, onFire) => {
      let isCancelled = false
      const timer = clock.after(delayMs, () => whenRunning(gateway(), () => { if (!isCancelled) onFire() }))
      return {
        cancel: () => {
          isCancelled = true
          timer.cancel()
        }
      }
    }
  })

  const deliver = (message: PeerMessage, from: PeerAddress, to: PeerAddress): void => {
    datagrams++
    if (random.next() < lossShare) return
    clock.after(1, () => {
      const receiver = gateways.find(gateway => gateway.alive && gateway.reachesPeers && gateway.address.port === to.port)
      if (receiver !== undefined) whenRunning(receiver, () => receiver.origins.onMessage(message, from))
    })
  }

  const start = (name: string): FleetGateway => {
    const port = ports.get(name) ?? ports.size + 1
    ports.set(name, port)
    const address = { ip: '10.0.0.1', port }
    const controller = new AbortController()
    const { signal } = controller
    const log = SILENT_LOGGER as EventLog
    const gateway: FleetGateway = {
      name, address, alive: true, inTouch: true, reachesPeers: true, stillUntilMs: -Infinity, calmSinceMs: clock.nowMs(), stop: () => controller.abort()
    } as Partial<FleetGateway> as FleetGateway
    const ownClock = clockOf(() => gateway)
    const history = createVersionHistory(ownClock, () => RETENTION_MS)
    const client = store.connect(ownClock, {
      isConnected: () => gateway.alive && gateway.inTouch,
      whenConnected: run => { stateOf(gateway).waitingForLink.push(run) },
      whenRunning: run => whenRunning(gateway, run)
    })
    const freshness = createTableFreshness(ownClock, FEED_WAIT_MS)
    const endpoints = createEndpointTable({ clock: ownClock, log, storeFailureTimes: { lastFailureMs: () => undefined, lastOutageMs: () => 0 }, versions: history, isConfiguredService: () => true })
    const shared = { clock: ownClock, history, retentionMs: () => RETENTION_MS, followedSinceMs: freshness.followedSinceMs }
    const versions = createKnownVersions({
      ...shared,
      rows: shareVersions({
        ...shared,
        store: client,
        log,
        unusable: NO_REPORTS,
        isFirstStart: !hasRestarted,
        isListFresh: () => freshness.ageMs() <= MAX_FRESH_LIST_AGE_MS,
        writes: () => FIRST_WRITERS.has(name),
        signal
      }),
      listAgeMs: freshness.ageMs,
      isFeedOverdue: freshness.isOverdue,
      readList: async () => {
        const read = await client.readRows({ table: ENDPOINT_TABLE, partition: PARTITION })
        if (read.ok) for (const row of read.val.rows) history.onReported(SERVICE, [row.value.toString()])
        return read.ok
      }
    })
    gateway.endpoints = endpoints
    gateway.origins = keeping === 'store'
      ? createStoreOrigins({ ...shared, store: client, versions })
      : createStreamOrigins({
        ...shared,
        versions,
        send: (message, to) => { if (gateway.alive && gateway.reachesPeers) deliver(message, address, to) },
        gateways: () => [...ports].filter(([other]) => other !== name).map(([other, otherPort]) => ({ name: other, address: { ip: '10.0.0.1', port: otherPort } }))
      })
    gateways.push(gateway)
    followTable({
      store: client,
      clock: ownClock,
      random,
      log,
      table: ENDPOINT_TABLE,
      partitions: [PARTITION],
      waitMs: FEED_WAIT_MS,
      intervalMs: () => FEED_INTERVAL_MS,
      signal,
      onResponse: freshness.onResponse,
      listener: {
        onListing: rows => endpoints.onListing(rows.map(endpointOf)),
        onChange: change => {
          if (change.change === 'put') {
            endpoints.onRow(endpointOf(change.row))
            return
          }
          if (!endpoints.isKnown(change.key.key)) freshness.onMissedRows()
          endpoints.onRemoved(change.key.key)
        }
      }
    }).catch(error => { throw error })
    return gateway
  }

  setListed('v1', true)
  heartbeat()
  for (let index = 0; index < gatewayCount; index++) start(`g${index}`)

  return {
    clock,
    random,
    gateways,
    storeVersions: () => [...listed.keys()],
    setListed,
    isRecorded: (version, sinceMs) => store
      .valuesSince({ table: VERSION_TABLE, partition: PARTITION, key: SERVICE }, sinceMs)
      .some(value => decodeVersionRecord(value).map(({ recent }) => recent.includes(version)).unwrapOr(false)),
    setWriteFailureShare: store.setWriteFailureShare,
    kill: gateway => {
      gateway.alive = false
      gateway.stop()
    },
    restart: gateway => {
      hasRestarted = true
      gateways.splice(gateways.indexOf(gateway), 1)
      return start(gateway.name)
    },
    setInTouch: (gateway, inTouch) => {
      gateway.inTouch = inTouch
      gateway.reachesPeers = inTouch || random.next() < 0.5
      if (inTouch) for (const run of stateOf(gateway).waitingForLink.splice(0)) run()
    },
    standStill: (gateway, durationMs, standstill) => {
      if (clock.nowMs() < gateway.stillUntilMs) return
      gateway.stillUntilMs = clock.nowMs() + durationMs
      clock.after(durationMs, () => {
        gateway.calmSinceMs = clock.nowMs()
        if (standstill === 'suspended') stateOf(gateway).lostMs += durationMs
        goOn(gateway)
      })
    },
    running: async gateway => await new Promise(resolve => { whenRunning(gateway, resolve) }),
    versionForNewStream: gateway => {
      const usable = gateway.endpoints.usable(SERVICE)
      return usable.length === 0 ? undefined : random.pick(usable).softwareVersion
    },
    advance: async durationMs => await clock.advanceAsync(durationMs),
    costs: () => ({ datagrams, ...store.costs })
  }
}
