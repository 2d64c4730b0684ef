/** The endpoints that may be sent to, from what the store lists. */
import type { Clock } from 'anvilarch-utils'
import type { Endpoint, EndpointRow, UnusableRow } from '../model/types'
import type { EventLog } from '../telemetry/events'
import { createLogRateLimiter } from '../telemetry/logRateLimiter'
import { type EntryStatus, isLastResort, EXPIRED_RETENTION_MS, mayHaveExpired, type StoreFailureTimes, acceptsRequests, timeToNextChangeMs } from './entryStatus'

/** Endpoints by service. */
export interface EndpointTable {
  /** A new or changed row. */
  onRow: (row: EndpointRow) => void
  onRemoved: (id: string) => void
  /** The whole list. */
  onListing: (rows: EndpointRow[]) => void
  /** Forgets what followed from the services that were known before. */
  onServicesChanged: () => void
  /** @returns endpoints that take new requests; those that are about to leave only when there are no others */
  usable: (service: string) => readonly Endpoint[]
  /** @returns the endpoint listed at this address, unless its entry is gone; it may be draining */
  atAddress: (address: string) => Endpoint | undefined
  /** @returns whether this start of an endpoint is listed */
  hasStart: (startId: string) => boolean
  all: () => Endpoint[]
  hasListing: () => boolean
  /** Calls the listener once for each start of an endpoint, when nothing may be sent to it any more. */
  onEvicted: (listener: (endpoint: Endpoint) => void) => void
}

/** Options of `createEndpointTable`. */
export interface EndpointTableOptions {
  clock: Clock
  log: EventLog
  storeFailureTimes: StoreFailureTimes
  /** @returns whether the configuration names the service; an entry of any other service is no endpoint */
  isConfiguredService: (service: string) => boolean
}

interface Entry extends EntryStatus {
  endpoint: Endpoint
}

/** Lines about rows that cannot be used; whoever writes such a row may do so again and again. */
const UNUSABLE_LINES_PER_SECOND = 2

/**
 * @param options - clock, services and contact to the store
 * @returns a table without endpoints
 */
export function createEndpointTable (options: EndpointTableOptions): EndpointTable {
  const { clock, log, storeFailureTimes: contact } = options
  const entries = new Map<string, Entry>()
  /** Why the row with an id names no endpoint, as it was last logged. */
  const unusableReasons = new Map<string, string>()
  const unusableLines = createLogRateLimiter(clock, UNUSABLE_LINES_PER_SECOND)
  const goneListeners: Array<(endpoint: Endpoint) => void> = []
  let listed = false
  /** Answers of `usable`, until an entry changes or the time at which one changes by itself. */
  const usableByService = new Map<string, { untilMs: number, endpoints: readonly Endpoint[] }>()
  /** What follows from all entries together; found again after each change of the list. */
  let standing: Standing | undefined

  const forgetAnswers = (): void => {
    standing = undefined
    usableByService.clear()
  }

  const drop = (id: string, entry: Entry): void => {
    entries.delete(id)
    for (const listener of goneListeners) listener(entry.endpoint)
  }

  /** An unusable row says nothing for the endpoint that it replaces, not even that it may have lapsed. */
  const putUnusable = (row: UnusableRow): void => {
    const known = entries.get(row.id)
    const reason = `${row.field}: ${row.reason}`
    if (unusableReasons.get(row.id) !== reason && unusableLines.tryAcquire()) {
      log.warn('endpoint entry not usable', { endpoint: row.id, field: row.field, reason: row.reason, replacedGood: known !== undefined && !known.unlisted })
    }
    unusableReasons.set(row.id, reason)
    if (known !== undefined) drop(row.id, known)
  }

  const put = (endpoint: Endpoint): void => {
    const known = entries.get(endpoint.id)
    if (known !== undefined && isEarlierStart(endpoint, known.endpoint)) return
    if (known?.endpoint.bornAtMs !== undefined && endpoint.bornAtMs === undefined) {
      // Each start says when it was; a row that no longer does comes from somebody else.
      putUnusable({ row: 'unusable', id: endpoint.id, field: 'bornAtMs', reason: 'missing, although an earlier row had it' })
      return
    }
    unusableReasons.delete(endpoint.id)
    const restarted = known !== undefined && known.endpoint.startId !== endpoint.startId
    if (restarted) drop(endpoint.id, known)
    const same = restarted ? undefined : known
    if (same === undefined || same.endpoint.state !== endpoint.state || same.unlisted) {
      log.info('endpoint listed', { endpoint: endpoint.startId, service: endpoint.service, address: endpoint.address, state: endpoint.state, restarted })
    }
    entries.set(endpoint.id, {
      endpoint,
      state: endpoint.state,
      unlisted: false,
      leavingSinceMs: endpoint.state === 'draining' ? same?.leavingSinceMs ?? clock.nowMs() : undefined,
      retainedUntilMs: undefined
    })
  }

  const putRow = (row: EndpointRow): void => {
    forgetAnswers()
    if (row.row === 'endpoint') put(row.endpoint)
    else putUnusable(row)
  }

  const remove = (id: string): void => {
    unusableReasons.delete(id)
    const entry = entries.get(id)
    if (entry === undefined || entry.unlisted) return
    forgetAnswers()
    const nowMs = clock.nowMs()
    const lapsed = entry.state === 'ready' && mayHaveExpired(contact, nowMs)
    entry.unlisted = true
    entry.leavingSinceMs ??= nowMs
    if (lapsed) entry.retainedUntilMs = nowMs + EXPIRED_RETENTION_MS
    log.info('endpoint removed from the list', { endpoint: entry.endpoint.startId, service: entry.endpoint.service, held: lapsed })
  }

  const namesEndpoint = (entry: Entry): boolean => {
    standing ??= standingOf(entries.values(), options.isConfiguredService)
    return standing.names(entry)
  }

  const sweep = (nowMs: number): void => {
    for (const [id, entry] of entries) {
      if (entry.unlisted && !acceptsRequests(entry, nowMs) && !isLastResort(entry, nowMs)) drop(id, entry)
    }
  }

  const findUsable = (service: string, nowMs: number): Endpoint[] => {
    sweep(nowMs)
    const ofService = [...entries.values()].filter(entry => entry.endpoint.service === service && namesEndpoint(entry))
    const ready = ofService.filter(entry => acceptsRequests(entry, nowMs))
    const chosen = ready.length > 0 ? ready : ofService.filter(entry => isLastResort(entry, nowMs))
    return chosen.map(entry => entry.endpoint)
  }

  return {
    onRow: putRow,
    onRemoved: remove,
    onListing: rows => {
      listed = true
      const ids = new Set(rows.map(row => row.row === 'endpoint' ? row.endpoint.id : row.id))
      for (const id of [...entries.keys()]) if (!ids.has(id)) remove(id)
      for (const id of [...unusableReasons.keys()]) if (!ids.has(id)) unusableReasons.delete(id)
      rows.forEach(putRow)
    },
    onServicesChanged: forgetAnswers,
    usable: service => {
      const nowMs = clock.nowMs()
      const known = usableByService.get(service)
      if (known !== undefined && nowMs < known.untilMs) return known.endpoints
      const endpoints = findUsable(service, nowMs)
      usableByService.set(service, { endpoints, untilMs: nowMs + timeToNextChangeMs(entries.values(), nowMs) })
      return endpoints
    },
    atAddress: address => {
      const nowMs = clock.nowMs()
      sweep(nowMs)
      const there = [...entries.values()].filter(entry => entry.endpoint.address === address && namesEndpoint(entry))
      return (there.find(entry => !entry.unlisted) ?? there.find(entry => acceptsRequests(entry, nowMs)))?.endpoint
    },
    hasStart: startId => [...entries.values()].some(entry => entry.endpoint.startId === startId),
    all: () => [...entries.values()].filter(entry => !entry.unlisted && namesEndpoint(entry)).map(entry => entry.endpoint),
    hasListing: () => listed,
    onEvicted: listener => { goneListeners.push(listener) }
  }
}

/** A write of a former start may reach the store after the entry of its successor. It says nothing of the successor. */
function isEarlierStart (endpoint: Endpoint, known: Endpoint): boolean {
  return endpoint.bornAtMs !== undefined && known.bornAtMs !== undefined && endpoint.bornAtMs < known.bornAtMs
}

interface Standing {
  /** @returns whether the entry names an endpoint that may be used, gone or not */
  names: (entry: Entry) => boolean
}

/**
 * What entries mean beside each other.
 *
 * An endpoint that restarts under a new id lists itself at once, while the entry of the former start lapses only after three
 * heartbeats. Whatever is sent to the former one is refused, so only the entry written last counts at an address.
 *
 * Rows of other writers may lack fields. Where most endpoints say when they were started, one that does not say so is none.
 */
function standingOf (entries: Iterable<Entry>, knowsService: (service: string) => boolean): Standing {
  const named = [...entries].filter(entry => knowsService(entry.endpoint.service))
  const withStart = named.filter(entry => entry.endpoint.bornAtMs !== undefined).length
  const startsAreTold = withStart * 2 > named.length
  const counted = named.filter(entry => !startsAreTold || entry.endpoint.bornAtMs !== undefined)
  const countedEntries = new Set(counted)
  const newestAt = new Map<string, number>()
  for (const { endpoint, unlisted: gone } of counted) {
    if (!gone) newestAt.set(endpoint.address, Math.max(newestAt.get(endpoint.address) ?? 0, endpoint.listedVersion))
  }
  return { names: entry => countedEntries.has(entry) && (newestAt.get(entry.endpoint.address) ?? 0) <= entry.endpoint.listedVersion }
}
