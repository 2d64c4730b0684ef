/** Tracks which endpoints may receive requests, based on the list of endpoints in the store. */
import type { Clock } from 'anvilarch-utils'
import type { Endpoint, EndpointRow, UnusableRow } from '../model/types'
import type { EventLog } from '../telemetry/events'
import { createLogRateLimiter } from '../telemetry/logRateLimiter'
import { type EntryStatus, isLastResort, EXPIRED_RETENTION_MS, mayHaveExpired, type StoreFailureTimes, acceptsRequests, timeToNextChangeMs } from './entryStatus'

/** Endpoints by service. */
export interface EndpointTable {
  /** Applies a new or changed row. */
  onRow: (row: EndpointRow) => void
  onRemoved: (id: string) => void
  /** Replaces the table by the complete list. */
  onListing: (rows: EndpointRow[]) => void
  /** Clears cached results that depend on the configured services. */
  onServicesChanged: () => void
  /** @returns endpoints that accept new requests; draining or unlisted ones only if there are no others */
  usable: (service: string) => readonly Endpoint[]
  /** @returns the endpoint listed at this address, which may be draining; undefined if its entry is unlisted and not retained */
  atAddress: (address: string) => Endpoint | undefined
  /** @returns whether this start of an endpoint is listed */
  hasStart: (startId: string) => boolean
  all: () => Endpoint[]
  hasListing: () => boolean
  /** Calls the listener once for each start of an endpoint, as soon as nothing may be sent to it any more. */
  onEvicted: (listener: (endpoint: Endpoint) => void) => void
}

/** Options of `createEndpointTable`. */
export interface EndpointTableOptions {
  clock: Clock
  log: EventLog
  storeFailureTimes: StoreFailureTimes
  /** @returns whether the configuration contains the service; entries of other services are ignored */
  isConfiguredService: (service: string) => boolean
}

interface Entry extends EntryStatus {
  endpoint: Endpoint
}

/** Limit of log lines about unusable rows, since their writer may repeat them indefinitely. */
const UNUSABLE_LINES_PER_SECOND = 2

/**
 * @param options - clock, services and failure times of the store
 * @returns a table without endpoints
 */
export function createEndpointTable (options: EndpointTableOptions): EndpointTable {
  const { clock, log, storeFailureTimes } = options
  const entries = new Map<string, Entry>()
  /** Reasons for which rows are unusable, by id, as last logged. */
  const unusableReasons = new Map<string, string>()
  const logRateLimiter = createLogRateLimiter(clock, UNUSABLE_LINES_PER_SECOND)
  const evictionListeners: Array<(endpoint: Endpoint) => void> = []
  let listed = false
  /** Cached results of `usable`, valid until an entry changes or the status of one changes with time. */
  const usableByService = new Map<string, { untilMs: number, endpoints: readonly Endpoint[] }>()
  /** Checks an entry against all others; created again after each change of the list. */
  let validator: EntryValidator | undefined

  const clearCache = (): void => {
    validator = undefined
    usableByService.clear()
  }

  const evict = (id: string, entry: Entry): void => {
    entries.delete(id)
    for (const listener of evictionListeners) listener(entry.endpoint)
  }

  /** An unusable row evicts the endpoint that it replaces at once: the entry is not retained as one that may have expired. */
  const putUnusable = (row: UnusableRow): void => {
    const existing = entries.get(row.id)
    const reason = `${row.field}: ${row.reason}`
    if (unusableReasons.get(row.id) !== reason && logRateLimiter.tryAcquire()) {
      log.warn('endpoint entry not usable', { endpoint: row.id, field: row.field, reason: row.reason, replacedGood: existing !== undefined && !existing.unlisted })
    }
    unusableReasons.set(row.id, reason)
    if (existing !== undefined) evict(row.id, existing)
  }

  const putEndpoint = (endpoint: Endpoint): void => {
    const existing = entries.get(endpoint.id)
    if (existing !== undefined && isEarlierStart(endpoint, existing.endpoint)) return
    if (existing?.endpoint.bornAtMs !== undefined && endpoint.bornAtMs === undefined) {
      // Endpoints that report their start time do so in each row; a row without it has another writer.
      putUnusable({ row: 'unusable', id: endpoint.id, field: 'bornAtMs', reason: 'missing, although an earlier row had it' })
      return
    }
    unusableReasons.delete(endpoint.id)
    const restarted = existing !== undefined && existing.endpoint.startId !== endpoint.startId
    if (restarted) evict(endpoint.id, existing)
    const previous = restarted ? undefined : existing
    if (previous === undefined || previous.endpoint.state !== endpoint.state || previous.unlisted) {
      log.info('endpoint listed', { endpoint: endpoint.startId, service: endpoint.service, softwareVersion: endpoint.softwareVersion, address: endpoint.address, state: endpoint.state, restarted })
    }
    entries.set(endpoint.id, {
      endpoint,
      state: endpoint.state,
      unlisted: false,
      leavingSinceMs: endpoint.state === 'draining' ? previous?.leavingSinceMs ?? clock.nowMs() : undefined,
      retainedUntilMs: undefined
    })
  }

  const putRow = (row: EndpointRow): void => {
    clearCache()
    if (row.row === 'endpoint') putEndpoint(row.endpoint)
    else putUnusable(row)
  }

  const remove = (id: string): void => {
    unusableReasons.delete(id)
    const entry = entries.get(id)
    if (entry === undefined || entry.unlisted) return
    clearCache()
    const nowMs = clock.nowMs()
    const expired = entry.state === 'ready' && mayHaveExpired(storeFailureTimes, nowMs)
    entry.unlisted = true
    entry.leavingSinceMs ??= nowMs
    if (expired) entry.retainedUntilMs = nowMs + EXPIRED_RETENTION_MS
    log.info('endpoint removed from the list', { endpoint: entry.endpoint.startId, service: entry.endpoint.service, held: expired })
  }

  const isValid = (entry: Entry): boolean => {
    validator ??= createEntryValidator(entries.values(), options.isConfiguredService)
    return validator.isValid(entry)
  }

  const evictStale = (nowMs: number): void => {
    for (const [id, entry] of entries) {
      if (entry.unlisted && !acceptsRequests(entry, nowMs) && !isLastResort(entry, nowMs)) evict(id, entry)
    }
  }

  const findUsable = (service: string, nowMs: number): Endpoint[] => {
    evictStale(nowMs)
    const ofService = [...entries.values()].filter(entry => entry.endpoint.service === service && isValid(entry))
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
    onServicesChanged: clearCache,
    usable: service => {
      const nowMs = clock.nowMs()
      const cached = usableByService.get(service)
      if (cached !== undefined && nowMs < cached.untilMs) return cached.endpoints
      const endpoints = findUsable(service, nowMs)
      usableByService.set(service, { endpoints, untilMs: nowMs + timeToNextChangeMs(entries.values(), nowMs) })
      return endpoints
    },
    atAddress: address => {
      const nowMs = clock.nowMs()
      evictStale(nowMs)
      const atThisAddress = [...entries.values()].filter(entry => entry.endpoint.address === address && isValid(entry))
      return (atThisAddress.find(entry => !entry.unlisted) ?? atThisAddress.find(entry => acceptsRequests(entry, nowMs)))?.endpoint
    },
    hasStart: startId => [...entries.values()].some(entry => entry.endpoint.startId === startId),
    all: () => [...entries.values()].filter(entry => !entry.unlisted && isValid(entry)).map(entry => entry.endpoint),
    hasListing: () => listed,
    onEvicted: listener => { evictionListeners.push(listener) }
  }
}

/** A write of a previous start may reach the store after the entry of its successor and must not replace it. */
function isEarlierStart (endpoint: Endpoint, existing: Endpoint): boolean {
  return endpoint.bornAtMs !== undefined && existing.bornAtMs !== undefined && endpoint.bornAtMs < existing.bornAtMs
}

interface EntryValidator {
  /** @returns whether the entry describes an endpoint that may be used, listed or not */
  isValid: (entry: Entry) => boolean
}

/**
 * Creates a check that takes all entries into account.
 *
 * An endpoint that restarts under a new id lists itself at once, while the entry of the previous start expires only after three
 * heartbeats. The new start refuses requests that are addressed to the previous one, so only the entry written last is valid at
 * an address.
 *
 * Rows of other writers may lack fields. If most endpoints report their start time, an entry without one is invalid.
 */
function createEntryValidator (entries: Iterable<Entry>, isConfiguredService: (service: string) => boolean): EntryValidator {
  const configured = [...entries].filter(entry => isConfiguredService(entry.endpoint.service))
  const withStartTime = configured.filter(entry => entry.endpoint.bornAtMs !== undefined).length
  const requiresStartTime = withStartTime * 2 > configured.length
  const complete = configured.filter(entry => !requiresStartTime || entry.endpoint.bornAtMs !== undefined)
  const completeEntries = new Set(complete)
  const newestVersionAt = new Map<string, number>()
  for (const { endpoint, unlisted } of complete) {
    if (!unlisted) newestVersionAt.set(endpoint.address, Math.max(newestVersionAt.get(endpoint.address) ?? 0, endpoint.listedVersion))
  }
  return { isValid: entry => completeEntries.has(entry) && (newestVersionAt.get(entry.endpoint.address) ?? 0) <= entry.endpoint.listedVersion }
}
