/** Tracks which endpoints may receive requests, based on the list of endpoints in the store. */
import type { Clock } from 'anvilarch-utils'
import type { Endpoint, EndpointRow, UnusableRow } from '../model/types'
import type { EventLog } from '../telemetry/events'
import type { VersionHistory } from '../streams/versionHistory'
import { createLogRateLimiter } from '../telemetry/logRateLimiter'
import { type EntryStatus, isLastResort, EXPIRED_RETENTION_MS, mayHaveExpired, type StoreFailureTimes, acceptsRequests, timeToNextChangeMs } from './entryStatus'

/** Endpoints by service. */
export interface EndpointTable {
  /** Applies a new or changed row. */
  onRow: (row: EndpointRow) => void
  onRemoved: (id: string) => void
  /** @returns whether a row with this id has been seen since it was last removed */
  isKnown: (id: string) => boolean
  /** Replaces the table by the complete list. */
  onListing: (rows: EndpointRow[]) => void
  /** Clears cached results that depend on the configured services. */
  onServicesChanged: () => void
  /**
   * @param service - the service
   * @param softwareVersion - the only version allowed; undefined for a new request
   * @returns endpoints that accept requests; draining or unlisted ones, and for new requests those of a version that has just
   *   been listed, only if there are no others
   */
  usable: (service: string, softwareVersion?: string) => readonly Endpoint[]
  /** @returns the endpoint listed at this address, which may be draining; undefined if its entry is unlisted and not retained */
  atAddress: (address: string) => Endpoint | undefined
  /** @returns whether this start of an endpoint is listed */
  hasStart: (startId: string) => boolean
  all: () => Endpoint[]
  hasListing: () => boolean
  /** Calls the listener once for each start of an endpoint, as soon as nothing may be sent to it any more. */
  onEvicted: (listener: (endpoint: Endpoint) => void) => void
  /** Calls the listener once for each start of an endpoint, as soon as its entry is gone and is not likely to come back. */
  onUnlisted: (listener: (endpoint: Endpoint) => void) => void
}

/** Options of `createEndpointTable`. */
export interface EndpointTableOptions {
  clock: Clock
  log: EventLog
  storeFailureTimes: StoreFailureTimes
  /** Updated with each endpoint that is listed or no longer listed. */
  versions: VersionHistory
  /** @returns whether the configuration contains the service; entries of other services are ignored */
  isConfiguredService: (service: string) => boolean
}

interface Entry extends EntryStatus {
  endpoint: Endpoint
  /** Number of rows of an earlier start that were written since the last one of this start, and version of the last of them. */
  earlierRows?: number
  lastEarlierVersion?: number
}

/** Rows after which an earlier start counts as running. Writes of a start that has ended may be late, but the later start writes as often. */
const ROWS_OF_RUNNING_START = 3

/** Limit of log lines about unusable rows, since their writer may repeat them indefinitely. */
const UNUSABLE_LINES_PER_SECOND = 2

/**
 * @param options - clock, services and failure times of the store
 * @returns a table without endpoints
 */
export function createEndpointTable (options: EndpointTableOptions): EndpointTable {
  const { clock, log, storeFailureTimes, versions } = options
  const entries = new Map<string, Entry>()
  /** Reasons for which rows are unusable, by id, as last logged. */
  const unusableReasons = new Map<string, string>()
  const logRateLimiter = createLogRateLimiter(clock, UNUSABLE_LINES_PER_SECOND)
  const evictionListeners: Array<(endpoint: Endpoint) => void> = []
  const unlistingListeners: Array<(endpoint: Endpoint) => void> = []
  let listed = false
  let isFirstListing = false
  /** Cached results of `usable` by service and version, valid until an entry changes or the status of one changes with time. */
  const usableByKey = new Map<string, { untilMs: number, endpoints: readonly Endpoint[] }>()
  /** Checks an entry against all others; created again after each change of the list. */
  let validator: EntryValidator | undefined

  const clearCache = (): void => {
    validator = undefined
    usableByKey.clear()
  }

  const evict = (id: string, entry: Entry): void => {
    entries.delete(id)
    if (!entry.unlisted) versions.onUnlisted(entry.endpoint)
    if (!entry.unlisted || entry.retainedUntilMs !== undefined) for (const listener of unlistingListeners) listener(entry.endpoint)
    for (const listener of evictionListeners) listener(entry.endpoint)
  }

  /** An unusable row evicts the endpoint that it replaces at once: the entry is not retained as one that may have expired. */
  const putUnusable = (row: UnusableRow): void => {
    const existing = entries.get(row.id)
    const reason = `${row.field}: ${row.reason}`
    if (unusableReasons.get(row.id) !== reason && logRateLimiter.tryAcquire()) {
      log.warn('endpoint entry not usable', { endpoint: row.id, field: row.field, reason: row.reason, replacedGood: existing !== undefined && !existing.unlisted })
      unusableReasons.set(row.id, reason)
    }
    if (existing !== undefined) evict(row.id, existing)
  }

  const putEndpoint = (endpoint: Endpoint): void => {
    const existing = entries.get(endpoint.id)
    if (existing !== undefined && isEarlierStart(endpoint, existing.endpoint) && !isStillWritten(endpoint, existing)) return
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
    if (previous !== undefined && !previous.unlisted && previous.endpoint.softwareVersion !== endpoint.softwareVersion) {
      versions.onUnlisted(previous.endpoint)
      versions.onListed(endpoint, false)
    } else if (previous === undefined || previous.unlisted) versions.onListed(endpoint, isFirstListing)
    entries.set(endpoint.id, {
      endpoint,
      state: endpoint.state,
      unlisted: false,
      leavingSinceMs: endpoint.state === 'draining' ? previous?.leavingSinceMs ?? clock.nowMs() : undefined,
      retainedUntilMs: undefined
    })
  }

  /** An earlier start that goes on to write, while the later one does not, is the one that runs: the later start is of another writer. */
  const isStillWritten = (endpoint: Endpoint, existing: Entry): boolean => {
    if (endpoint.listedVersion <= (existing.lastEarlierVersion ?? existing.endpoint.listedVersion)) return false
    existing.lastEarlierVersion = endpoint.listedVersion
    existing.earlierRows = (existing.earlierRows ?? 0) + 1
    return existing.earlierRows >= ROWS_OF_RUNNING_START
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
    versions.onUnlisted(entry.endpoint)
    entry.leavingSinceMs ??= nowMs
    if (expired) entry.retainedUntilMs = nowMs + EXPIRED_RETENTION_MS
    else for (const listener of unlistingListeners) listener(entry.endpoint)
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

  const findUsable = (service: string, softwareVersion: string | undefined, nowMs: number): Endpoint[] => {
    evictStale(nowMs)
    const isAllowed = ({ endpoint }: Entry): boolean => endpoint.service === service && (softwareVersion === undefined || endpoint.softwareVersion === softwareVersion)
    const allowed = [...entries.values()].filter(entry => isAllowed(entry) && isValid(entry))
    const ready = allowed.filter(entry => acceptsRequests(entry, nowMs))
    const preferred = softwareVersion === undefined ? ready.filter(({ endpoint }) => versions.isSettled(service, endpoint.softwareVersion)) : ready
    const chosen = [preferred, ready].find(choice => choice.length > 0) ?? allowed.filter(entry => isLastResort(entry, nowMs))
    return chosen.map(entry => entry.endpoint)
  }

  /** @returns time until the result of `findUsable` may change without a change of the list, in milliseconds */
  const cacheMs = (service: string, nowMs: number): number => {
    const settlesInMs = versions.settlesInMs(service)
    return Math.min(timeToNextChangeMs(entries.values(), nowMs), settlesInMs > 0 ? settlesInMs : Infinity)
  }

  return {
    onRow: putRow,
    onRemoved: remove,
    isKnown: id => entries.get(id)?.unlisted === false || unusableReasons.has(id),
    onListing: rows => {
      isFirstListing = !listed
      listed = true
      const ids = new Set(rows.map(row => row.row === 'endpoint' ? row.endpoint.id : row.id))
      for (const id of [...entries.keys()]) if (!ids.has(id)) remove(id)
      for (const id of [...unusableReasons.keys()]) if (!ids.has(id)) unusableReasons.delete(id)
      rows.forEach(putRow)
      isFirstListing = false
    },
    onServicesChanged: clearCache,
    usable: (service, softwareVersion) => {
      const nowMs = clock.nowMs()
      const key = softwareVersion === undefined ? service : `${service}/${softwareVersion}`
      const cached = usableByKey.get(key)
      if (cached !== undefined && nowMs < cached.untilMs) return cached.endpoints
      const endpoints = findUsable(service, softwareVersion, nowMs)
      usableByKey.set(key, { endpoints, untilMs: nowMs + cacheMs(service, nowMs) })
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
    onEvicted: listener => { evictionListeners.push(listener) },
    onUnlisted: listener => { unlistingListeners.push(listener) }
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
