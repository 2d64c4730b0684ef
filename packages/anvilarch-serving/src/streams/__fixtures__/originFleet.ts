/** Gateways on a fake clock that begin and resume streams while endpoints of several software versions come and go. */
import { createFakeClock, createRandom, type FakeClock, type Random, SILENT_LOGGER } from 'anvilarch-utils'
import { Err, Ok } from 'ts-results'
import type { PeerMessage } from '../../endpoints/peerMessages'
import type { PeerAddress } from '../../endpoints/peerSocket'
import type { Endpoint } from '../../model/types'
import type { MetadataStore, StoredRow, TransactionOutcome } from '../../store/types'
import type { EventLog } from '../../telemetry/events'
import { createStoreOrigins } from './storeOrigins'
import { createKnownVersions } from '../knownVersions'
import { createStreamOrigins, type StreamOrigins } from '../streamOrigins'
import { createVersionHistory, MAX_FRESH_LIST_AGE_MS, type VersionHistory } from '../versionHistory'
import { shareVersions } from '../versionRows'

export const SERVICE = 's'

/** How long streams last at most. */
export const RETENTION_MS = 10_000

/** Feeds deliver changes of the list after at most this long. */
const MAX_FEED_LAG_MS = 350

/** A feed without a response for this long is overdue. */
const OVERDUE_MS = 2500

const RESPONSE_DELAY_MS = 5

/** Gateways that write rows of versions first. */
const FIRST_WRITERS: ReadonlySet<string> = new Set(['g0', 'g1', 'g2'])

/** One start of a gateway. */
export interface FleetGateway {
  name: string
  address: PeerAddress
  origins: StreamOrigins
  history: VersionHistory
  alive: boolean
  /** Whether it reaches the store. */
  inTouch: boolean
  /** Versions in its copy of the list. */
  listed: Map<string, Endpoint>
  answeredAtMs: number
  followedSinceMs: number | undefined
  /** Time since which it has had no fault of its own. */
  calmSinceMs: number
  stop: () => void
}

/** Where gateways keep origins: at other gateways, or in the store. */
export type OriginKeeping = 'peers' | 'store'

/** The fleet. */
export interface OriginFleet {
  clock: FakeClock
  random: Random
  gateways: FleetGateway[]
  /** Software versions of the endpoints in the store. */
  storeVersions: () => string[]
  /** Starts an endpoint of a version, or ends the one that it has. */
  setListed: (softwareVersion: string, listed: boolean) => void
  /** Sets the share of writes to the store that it refuses. */
  setWriteFailureShare: (share: number) => void
  kill: (gateway: FleetGateway) => void
  /** Replaces a killed gateway by a new start of the same name. */
  restart: (gateway: FleetGateway) => FleetGateway
  /** @returns a version at which the gateway may begin a stream; undefined if it knows no endpoint */
  versionForNewStream: (gateway: FleetGateway) => string | undefined
  advance: (durationMs: number) => Promise<void>
  /** Datagrams and store calls so far. */
  costs: { datagrams: number, storeWrites: number, storeReads: number }
}

function endpointOf (softwareVersion: string): Endpoint {
  return { id: softwareVersion, bornAtMs: undefined, startId: softwareVersion, service: SERVICE, address: '10.0.0.1:80', failureDomain: 'a', softwareVersion, slots: 8, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
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
  const listed = new Set<string>(['v1'])
  const rows = new Map<string, StoredRow>()
  const gateways: FleetGateway[] = []
  const ports = new Map<string, number>()

  let writeFailureShare = 0
  let storeVersion = 0
  let hasRestarted = false
  const costs = { datagrams: 0, storeWrites: 0, storeReads: 0 }

  const deliver = (message: PeerMessage, from: PeerAddress, to: PeerAddress): void => {
    costs.datagrams++
    if (random.next() < lossShare) return
    clock.after(1, () => {
      const receiver = gateways.find(gateway => gateway.alive && gateway.address.port === to.port)
      receiver?.origins.onMessage(message, from)
    })
  }

  const applyList = (gateway: FleetGateway): void => {
    const isFirst = gateway.answeredAtMs === -Infinity
    if (clock.nowMs() - gateway.answeredAtMs > OVERDUE_MS) gateway.followedSinceMs = clock.nowMs()
    for (const [version, endpoint] of gateway.listed) {
      if (listed.has(version)) continue
      gateway.listed.delete(version)
      gateway.history.onUnlisted(endpoint)
    }
    for (const version of listed) {
      if (gateway.listed.has(version)) continue
      gateway.listed.set(version, endpointOf(version))
      gateway.history.onListed(endpointOf(version), isFirst)
    }
    gateway.answeredAtMs = clock.nowMs()
  }

  const followList = (gateway: FleetGateway): void => {
    if (!gateway.alive) return
    if (gateway.inTouch) applyList(gateway)
    clock.after(random.between(50, MAX_FEED_LAG_MS), () => followList(gateway))
  }

  const storeOf = (isReachable: () => boolean): MetadataStore => {
    const respond = async <Value>(run: () => Value, failed: Value): Promise<Value> => await new Promise(resolve => {
      clock.after(RESPONSE_DELAY_MS, () => resolve(isReachable() ? run() : failed))
    })
    return {
      storeNowMs: () => clock.nowMs(),
      readRows: async ({ table, from, to }) => {
        costs.storeReads++
        const isInRange = ({ key }: StoredRow): boolean => (from === undefined || key >= from) && (to === undefined || key < to)
        return await respond(() => Ok({ rows: [...rows.values()].filter(row => row.table === table && isInRange(row)), version: 1 }), Err({ reason: 'cut' }))
      },
      commit: async ({ conditions, puts }) => {
        costs.storeWrites++
        if (random.next() < writeFailureShare) return await respond<TransactionOutcome>(() => ({ outcome: 'refused', reason: 'over_rate' }), { outcome: 'refused', reason: 'cut' })
        return await respond<TransactionOutcome>(() => {
          const current = conditions.flatMap(({ table, key }) => rows.get(`${table}/${key}`) ?? [])
          if (conditions.some(({ table, key, version }) => (rows.get(`${table}/${key}`)?.version ?? 0) !== version)) return { outcome: 'conflict', rows: current }
          storeVersion++
          for (const put of puts) rows.set(`${put.table}/${put.key}`, { ...put, version: storeVersion })
          return { outcome: 'committed', version: storeVersion }
        }, { outcome: 'refused', reason: 'cut' })
      }
    } as Partial<MetadataStore> as MetadataStore
  }

  const start = (name: string): FleetGateway => {
    const port = ports.get(name) ?? ports.size + 1
    ports.set(name, port)
    const address = { ip: '10.0.0.1', port }
    const controller = new AbortController()
    const history = createVersionHistory(clock, () => RETENTION_MS)
    const isReachable = (): boolean => gateway.alive && gateway.inTouch
    const store = storeOf(isReachable)
    const log = SILENT_LOGGER as EventLog
    const shared = { clock, history, retentionMs: () => RETENTION_MS }
    const versions = createKnownVersions({
      ...shared,
      rows: shareVersions({
        ...shared,
        store,
        log,
        followedSinceMs: () => gateway.followedSinceMs,
        isFirstStart: !hasRestarted,
        isListFresh: () => clock.nowMs() - gateway.answeredAtMs <= MAX_FRESH_LIST_AGE_MS,
        writes: () => FIRST_WRITERS.has(name),
        signal: controller.signal
      }),
      listAgeMs: () => clock.nowMs() - gateway.answeredAtMs,
      followedSinceMs: () => gateway.followedSinceMs,
      isFeedOverdue: () => clock.nowMs() - gateway.answeredAtMs > OVERDUE_MS,
      readList: async () => {
        await new Promise<void>(resolve => { clock.after(RESPONSE_DELAY_MS, resolve) })
        if (isReachable()) history.onReported(SERVICE, [...listed])
        return isReachable()
      }
    })
    const gateway: FleetGateway = {
      name,
      address,
      history,
      alive: true,
      inTouch: true,
      listed: new Map(),
      answeredAtMs: -Infinity,
      followedSinceMs: undefined,
      calmSinceMs: clock.nowMs(),
      stop: () => controller.abort(),
      origins: keeping === 'store'
        ? createStoreOrigins({ ...shared, store, versions })
        : createStreamOrigins({
          ...shared,
          versions,
          send: (message, to) => { if (gateway.alive) deliver(message, address, to) },
          gateways: () => [...ports].filter(([other]) => other !== name).map(([other, otherPort]) => ({ name: other, address: { ip: '10.0.0.1', port: otherPort } }))
        })
    }
    gateways.push(gateway)
    followList(gateway)
    return gateway
  }

  for (let index = 0; index < gatewayCount; index++) start(`g${index}`)

  return {
    clock,
    random,
    gateways,
    storeVersions: () => [...listed],
    setListed: (version, isListed) => {
      if (isListed) listed.add(version)
      else listed.delete(version)
    },
    setWriteFailureShare: share => { writeFailureShare = share },
    kill: gateway => {
      gateway.alive = false
      gateway.stop()
    },
    restart: gateway => {
      hasRestarted = true
      gateways.splice(gateways.indexOf(gateway), 1)
      return start(gateway.name)
    },
    versionForNewStream: gateway => {
      const known = [...gateway.listed.keys()]
      const settled = known.filter(version => gateway.history.isSettled(SERVICE, version))
      const choices = settled.length > 0 ? settled : known
      return choices.length === 0 ? undefined : random.pick(choices)
    },
    advance: async durationMs => await clock.advanceAsync(durationMs),
    costs
  }
}
