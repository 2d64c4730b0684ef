/** The endpoints that may be sent to, from what the store lists. */
import type { Clock } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { EventLog } from '../telemetry/events'

/** Endpoints by service. */
export interface EndpointTable {
  /** A new or changed entry. */
  onEntry: (endpoint: Endpoint) => void
  onRemoved: (id: string) => void
  /** The whole list. */
  onListing: (endpoints: Endpoint[]) => void
  /** @returns endpoints that take new requests; those that are about to leave only when there are no others */
  usable: (service: string) => Endpoint[]
  /** @returns the endpoint with this id, also while it is leaving */
  get: (id: string) => Endpoint | undefined
  /** @returns the endpoint listed at this address, unless its entry is gone; it may be draining */
  atAddress: (address: string) => Endpoint | undefined
  all: () => Endpoint[]
  hasListing: () => boolean
  onGone: (listener: (endpoint: Endpoint) => void) => void
}

/** When the store last failed a call of this process. */
export interface StoreContact {
  lastFailureMs: () => number | undefined
  /** How long calls had failed, one after another, when the store last failed. */
  lastOutageMs: () => number
}

/** Options of `createEndpointTable`. */
export interface EndpointTableOptions {
  clock: Clock
  log: EventLog
  contact: StoreContact
}

/** An endpoint that leaves is used as a last resort for this long. It serves for 2 s after the store has said so. */
export const LAST_RESORT_MS = 1000

/** An entry that goes this soon after a failed call may have lapsed: with the store back, it comes back within two seconds. */
export const LAPSE_GRACE_MS = 2200

/**
 * Entries lapse after three heartbeats of 1.2 s that cannot be written. A shorter outage, seen from here, lets none lapse;
 * a connection that was reset costs a call or two.
 */
export const MIN_LAPSE_OUTAGE_MS = 800

/**
 * An entry that may have lapsed counts as there for this long. An endpoint that has really left must get nothing
 * 2 s after the store has said so; the rest is for the way of the word here and of the request there.
 */
export const LAPSE_HOLD_MS = 1700

interface Entry {
  endpoint: Endpoint
  /** When the entry began to leave: it drains or is gone. */
  leavingSinceMs?: number
  gone: boolean
  /** An entry that may only have lapsed counts as there until this time. */
  heldUntilMs?: number
}

/**
 * @param options - clock and contact to the store
 * @returns a table without endpoints
 */
export function createEndpointTable (options: EndpointTableOptions): EndpointTable {
  const { clock, log, contact } = options
  const entries = new Map<string, Entry>()
  const goneListeners: Array<(endpoint: Endpoint) => void> = []
  let listed = false
  /** Version of the entry written last at each address; found again after each change of the list. */
  let newestAt: Map<string, number> | undefined

  const put = (endpoint: Endpoint): void => {
    newestAt = undefined
    const known = entries.get(endpoint.id)
    const draining = endpoint.state === 'draining'
    if (known === undefined || known.endpoint.state !== endpoint.state || known.gone) {
      log.info('endpoint listed', { endpoint: endpoint.id, service: endpoint.service, address: endpoint.address, state: endpoint.state })
    }
    entries.set(endpoint.id, {
      endpoint,
      gone: false,
      ...draining ? { leavingSinceMs: known?.leavingSinceMs ?? clock.nowMs() } : {}
    })
  }

  const entriesMayLapse = (nowMs: number): boolean => {
    const failedAtMs = contact.lastFailureMs()
    if (failedAtMs === undefined || nowMs - failedAtMs >= LAPSE_GRACE_MS) return false
    return contact.lastOutageMs() >= MIN_LAPSE_OUTAGE_MS
  }

  const remove = (id: string): void => {
    const entry = entries.get(id)
    if (entry === undefined || entry.gone) return
    newestAt = undefined
    const nowMs = clock.nowMs()
    const lapsed = entry.endpoint.state === 'ready' && entriesMayLapse(nowMs)
    entry.gone = true
    entry.leavingSinceMs ??= nowMs
    if (lapsed) entry.heldUntilMs = nowMs + LAPSE_HOLD_MS
    log.info('endpoint removed from the list', { endpoint: id, service: entry.endpoint.service, held: lapsed })
  }

  /**
   * An endpoint that restarts lists its new incarnation at once, while the entry of the former one lapses only after three
   * heartbeats. Whatever is sent to the former one is refused, so only the entry written last counts at an address.
   */
  const isSuperseded = (entry: Entry): boolean => {
    newestAt ??= newestVersions(entries.values())
    return (newestAt.get(entry.endpoint.address) ?? 0) > entry.endpoint.listedVersion
  }

  const takesRequests = (entry: Entry, nowMs: number): boolean => {
    if (!entry.gone) return entry.endpoint.state === 'ready'
    return entry.heldUntilMs !== undefined && nowMs < entry.heldUntilMs
  }

  const lastResort = (entry: Entry, nowMs: number): boolean =>
    entry.leavingSinceMs !== undefined && nowMs - entry.leavingSinceMs < LAST_RESORT_MS

  const sweep = (nowMs: number): void => {
    for (const [id, entry] of entries) {
      if (!entry.gone || takesRequests(entry, nowMs) || lastResort(entry, nowMs)) continue
      entries.delete(id)
      for (const listener of goneListeners) listener(entry.endpoint)
    }
  }

  return {
    onEntry: put,
    onRemoved: remove,
    onListing: endpoints => {
      listed = true
      const ids = new Set(endpoints.map(endpoint => endpoint.id))
      for (const id of [...entries.keys()]) if (!ids.has(id)) remove(id)
      endpoints.forEach(put)
    },
    usable: service => {
      const nowMs = clock.nowMs()
      sweep(nowMs)
      const ofService = [...entries.values()].filter(entry => entry.endpoint.service === service && !isSuperseded(entry))
      const ready = ofService.filter(entry => takesRequests(entry, nowMs))
      const chosen = ready.length > 0 ? ready : ofService.filter(entry => lastResort(entry, nowMs))
      return chosen.map(entry => entry.endpoint)
    },
    get: id => entries.get(id)?.endpoint,
    atAddress: address => {
      const nowMs = clock.nowMs()
      sweep(nowMs)
      const there = [...entries.values()].filter(entry => entry.endpoint.address === address && !isSuperseded(entry))
      return (there.find(entry => !entry.gone) ?? there.find(entry => takesRequests(entry, nowMs)))?.endpoint
    },
    all: () => [...entries.values()].filter(entry => !entry.gone).map(entry => entry.endpoint),
    hasListing: () => listed,
    onGone: listener => { goneListeners.push(listener) }
  }
}

function newestVersions (entries: Iterable<Entry>): Map<string, number> {
  const newest = new Map<string, number>()
  for (const { endpoint, gone } of entries) {
    if (!gone) newest.set(endpoint.address, Math.max(newest.get(endpoint.address) ?? 0, endpoint.listedVersion))
  }
  return newest
}
