/**
 * Detects requests that crash every endpoint that runs them, and quarantines them to protect the remaining endpoints. Free of I/O.
 *
 * Protects against a request whose processing crashes the endpoint: its caller sends it again, to any gateway, and each time an
 * endpoint and all requests in progress there are lost. The symptom is that endpoints restart one after another, each with the
 * same request in progress. A suspect may run until it has been in progress at the crashes of three starts of endpoints.
 *
 * The cause may also be a prompt part that many requests share. Each part has a record of its own. Sound parts are in progress at the
 * same crashes, so of the parts of a request only those are blamed that have been completed least, and a part is quarantined only if
 * several requests with it were in progress and the requests with it that endpoints have lately completed do not outweigh the crashes.
 */
import type { Clock } from 'anvilarch-utils'
import { createCompletionCounts } from './completionCounts'
import { partKeyOf } from './fingerprint'

/** Crashes at which a request, or requests with a prompt part, were in progress. */
export interface SuspectRecord {
  /** Fingerprint of the request, or key of the prompt part. */
  fingerprint: string
  /** Start ids of the endpoints that crashed meanwhile. */
  crashedStarts: string[]
  /** Store time of the last crash, in milliseconds. */
  lastCrashAtMs: number
  /** Of a prompt part: fingerprints of the requests with it. */
  requests?: string[]
  /** Of a prompt part: number of requests that were let through since it was quarantined. */
  trials?: number
}

/** A request in progress when its connection was lost. */
export interface LostRequest {
  fingerprint: string
  sharedParts: readonly string[]
}

/** Requests and prompt parts that were in progress at crashes. */
export interface SuspectTable {
  /**
   * Records that the connection to an endpoint was lost while the request was in progress there. This alone is no crash, since
   * connections are lost for other reasons too.
   *
   * @returns new records, if the endpoint is already known to be lost
   */
  onConnectionLost: (request: LostRequest, startId: string) => SuspectRecord[]
  /** Records that the endpoint refuses connections, was replaced or cannot be reached by its agent. @returns new records */
  onEndpointLost: (startId: string) => SuspectRecord[]
  /** Records that the endpoint accepts connections, so that the connections lost so far were lost for other reasons. */
  onEndpointAlive: (startId: string) => void
  /**
   * Records that an endpoint has run a request with these prompt parts to its end. `fingerprint`: that of the request, if there are
   * suspects. @returns records that other gateways must remove too
   */
  onCompleted: (sharedParts: readonly string[], fingerprint: string | undefined) => SuspectRecord[]
  /** Merges a record of another gateway. @returns the record merged with the local one */
  merge: (record: SuspectRecord) => SuspectRecord
  remove: (fingerprint: string) => void
  /** @returns whether the request may not be sent to any endpoint */
  isQuarantined: (fingerprint: string) => boolean
  /** @returns records of the parts because of which requests may not be sent to any endpoint */
  quarantinedParts: (sharedParts: readonly string[]) => SuspectRecord[]
  /** @returns whether a part was in progress at several crashes and is not known to be sound */
  hasSuspectPart: (sharedParts: readonly string[]) => boolean
  /** @returns whether there are no suspects, so that no lookup is needed */
  isEmpty: () => boolean
  records: () => SuspectRecord[]
}

/**
 * Crashes after which a request is quarantined. Two can be a coincidence: if a fifth of the endpoints is lost at once, one retry
 * in five is in progress at a second crash.
 */
export const QUARANTINE_CRASH_COUNT = 3

/** Requests with a part that must have been in progress at crashes: one unlucky request alone does not quarantine its parts. */
const MIN_PART_REQUESTS = 2

/** Crashes after which a part is suspect, so that a request with it that has lost its endpoint is not sent to another one. */
const SUSPECT_PART_CRASH_COUNT = 2

/** Crashes that a record lists. */
const MAX_LISTED_CRASHES = 8

/** Crashes that one completion outweighs: sound parts are in progress at more crashes than they cause, since a crash takes all requests at an endpoint. */
const CRASHES_PER_COMPLETION = 4

/**
 * A lost connection and a lost endpoint are attributed to the same crash within this time. The entry of an endpoint that crashed is
 * removed after three heartbeats of 1.2 s; the rest is for the store and the feed.
 */
export const CRASH_CORRELATION_MS = 6000

/** A record is removed this long after its last crash. */
export const SUSPECT_RETENTION_MS = 600_000

/** Limit on the number of records. The oldest is evicted first, so that a flood of crashes cannot exhaust the memory. */
export const MAX_SUSPECTS = 2000

interface LostConnection {
  request: LostRequest
  lostAtMs: number
}

/**
 * @param clock - local clock
 * @param storeNowMs - the store's clock, which makes records of several gateways comparable
 * @returns a table without suspects
 */
export function createSuspectTable (clock: Clock, storeNowMs: () => number | undefined): SuspectTable {
  const records = new Map<string, SuspectRecord>()
  const lostConnections = new Map<string, LostConnection[]>()
  const endpointLostAtMs = new Map<string, number>()
  const completions = createCompletionCounts(clock)

  const evictUncorrelated = (nowMs: number): void => {
    for (const [startId, connections] of lostConnections) {
      const recent = connections.filter(connection => nowMs - connection.lostAtMs <= CRASH_CORRELATION_MS)
      if (recent.length === 0) lostConnections.delete(startId)
      else lostConnections.set(startId, recent)
    }
    for (const [startId, atMs] of endpointLostAtMs) if (nowMs - atMs > CRASH_CORRELATION_MS) endpointLostAtMs.delete(startId)
  }

  const merge = (record: SuspectRecord): SuspectRecord => {
    const known = records.get(record.fingerprint)
    const merged: SuspectRecord = {
      fingerprint: record.fingerprint,
      crashedStarts: union(known?.crashedStarts, record.crashedStarts, MAX_LISTED_CRASHES),
      lastCrashAtMs: Math.max(known?.lastCrashAtMs ?? 0, record.lastCrashAtMs)
    }
    if (record.requests !== undefined) merged.requests = union(known?.requests, record.requests, MIN_PART_REQUESTS)
    if (record.trials !== undefined || known?.trials !== undefined) merged.trials = Math.max(known?.trials ?? 0, record.trials ?? 0)
    records.delete(record.fingerprint)
    records.set(record.fingerprint, merged)
    const oldest = records.keys().next().value
    if (records.size > MAX_SUSPECTS && oldest !== undefined) records.delete(oldest)
    return merged
  }

  const isNew = (fingerprint: string, startId: string): boolean => {
    const crashedStarts = records.get(fingerprint)?.crashedStarts ?? []
    return !crashedStarts.includes(startId) && crashedStarts.length < MAX_LISTED_CRASHES
  }

  const recordCrash = ({ fingerprint, sharedParts }: LostRequest, startId: string): SuspectRecord[] => {
    const crash = { crashedStarts: [startId], lastCrashAtMs: storeNowMs() ?? 0 }
    const requestRecords = isNew(fingerprint, startId) ? [merge({ fingerprint, ...crash })] : []
    const newlyBlamed = blamedParts(sharedParts).filter(part => isNewForPart(part, fingerprint, startId))
    return [...requestRecords, ...newlyBlamed.map(part => merge({ fingerprint: partKeyOf(part), ...crash, requests: [fingerprint] }))]
  }

  const blamedParts = (sharedParts: readonly string[]): string[] => {
    const fewest = Math.min(...sharedParts.map(completions.count))
    return sharedParts.filter(part => completions.count(part) === fewest && !isSound(part))
  }

  /** A second request at the same crash is new information about a part as long as one request is listed. */
  const isNewForPart = (part: string, requestFingerprint: string, startId: string): boolean => {
    const requests = records.get(partKeyOf(part))?.requests ?? []
    return isNew(partKeyOf(part), startId) || (requests.length < MIN_PART_REQUESTS && !requests.includes(requestFingerprint))
  }

  /** @returns whether the requests with the part that endpoints have lately completed outweigh the crashes */
  const isSound = (part: string): boolean => {
    const crashCount = records.get(partKeyOf(part))?.crashedStarts.length ?? 0
    return CRASHES_PER_COMPLETION * completions.count(part) > crashCount
  }

  const partRecord = (part: string, crashCount: number): SuspectRecord | undefined => {
    const record = records.get(partKeyOf(part))
    return record !== undefined && record.crashedStarts.length >= crashCount && !isSound(part) ? record : undefined
  }

  const quarantinedPart = (part: string): SuspectRecord | undefined => {
    const record = partRecord(part, QUARANTINE_CRASH_COUNT)
    return (record?.requests?.length ?? 0) >= MIN_PART_REQUESTS ? record : undefined
  }

  return {
    onConnectionLost: (request, startId) => {
      const nowMs = clock.nowMs()
      evictUncorrelated(nowMs)
      if (endpointLostAtMs.has(startId)) return recordCrash(request, startId)
      lostConnections.set(startId, [...lostConnections.get(startId) ?? [], { request, lostAtMs: nowMs }])
      return []
    },
    onEndpointLost: startId => {
      const nowMs = clock.nowMs()
      evictUncorrelated(nowMs)
      endpointLostAtMs.set(startId, nowMs)
      const connections = lostConnections.get(startId) ?? []
      lostConnections.delete(startId)
      return connections.flatMap(connection => recordCrash(connection.request, startId))
    },
    onEndpointAlive: startId => { lostConnections.delete(startId) },
    onCompleted: (sharedParts, fingerprint) => {
      const requestRecord = fingerprint === undefined ? undefined : records.get(fingerprint)
      if (requestRecord !== undefined) records.delete(requestRecord.fingerprint)
      const cleared: SuspectRecord[] = requestRecord === undefined ? [] : [requestRecord]
      for (const part of sharedParts) {
        completions.add(part)
        const record = records.size === 0 ? undefined : records.get(partKeyOf(part))
        if (record === undefined) continue
        records.delete(record.fingerprint)
        if (record.crashedStarts.length >= SUSPECT_PART_CRASH_COUNT) cleared.push(record)
      }
      return cleared
    },
    merge,
    remove: fingerprint => { records.delete(fingerprint) },
    isQuarantined: fingerprint => (records.get(fingerprint)?.crashedStarts.length ?? 0) >= QUARANTINE_CRASH_COUNT,
    quarantinedParts: sharedParts => sharedParts.flatMap(part => quarantinedPart(part) ?? []),
    hasSuspectPart: sharedParts => sharedParts.some(part => partRecord(part, SUSPECT_PART_CRASH_COUNT) !== undefined),
    isEmpty: () => records.size === 0,
    records: () => [...records.values()]
  }
}

function union (known: readonly string[] = [], added: readonly string[], limit: number): string[] {
  return [...new Set([...known, ...added])].slice(0, limit)
}
