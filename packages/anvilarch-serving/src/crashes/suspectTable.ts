/**
 * Detects requests that crash every endpoint that runs them, and quarantines them to protect the remaining endpoints. Free of I/O.
 *
 * Protects against a request whose processing crashes the endpoint: its caller sends it again, to any gateway, and each time an
 * endpoint and all requests in progress there are lost. The symptom is that endpoints restart one after another, each with the
 * same request in progress. A suspect may run until it has been in progress at the crashes of three starts of endpoints.
 */
import type { Clock } from 'anvilarch-utils'

/** Crashes at which a request was in progress. */
export interface SuspectRecord {
  fingerprint: string
  /** Start ids of the endpoints that crashed while the request was in progress there. */
  crashedStarts: string[]
  /** Store time of the last crash, in milliseconds. */
  lastCrashAtMs: number
}

/** Requests that were in progress at crashes. */
export interface SuspectTable {
  /**
   * Records that the connection to an endpoint was lost while the request was in progress there. This alone is no crash, since
   * connections are lost for other reasons too.
   *
   * @returns new records, if the endpoint is already known to be lost
   */
  onConnectionLost: (fingerprint: string, startId: string) => SuspectRecord[]
  /** Records that the endpoint refuses connections, was replaced or cannot be reached by its agent. @returns new records */
  onEndpointLost: (startId: string) => SuspectRecord[]
  /** Merges a record of another gateway. @returns the record merged with the local one */
  merge: (record: SuspectRecord) => SuspectRecord
  remove: (fingerprint: string) => void
  /** @returns whether the request may not be sent to any endpoint */
  isQuarantined: (fingerprint: string) => boolean
  /** @returns whether there are no suspects, so that no lookup is needed */
  isEmpty: () => boolean
  records: () => SuspectRecord[]
}

/**
 * Crashes after which a request is quarantined. Two can be a coincidence: if a fifth of the endpoints is lost at once, one retry
 * in five is in progress at a second crash.
 */
export const QUARANTINE_CRASH_COUNT = 3

/** A lost connection and a lost endpoint are attributed to the same crash within this time. A restart is listed after at most one heartbeat of 1.2 s. */
export const CRASH_CORRELATION_MS = 2500

/** A record is removed this long after its last crash. */
export const SUSPECT_RETENTION_MS = 600_000

/** Limit on the number of records. The oldest is evicted first, so that a flood of crashes cannot exhaust the memory. */
export const MAX_SUSPECTS = 2000

interface LostConnection {
  fingerprint: string
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
      crashedStarts: [...new Set([...known?.crashedStarts ?? [], ...record.crashedStarts])].slice(0, QUARANTINE_CRASH_COUNT),
      lastCrashAtMs: Math.max(known?.lastCrashAtMs ?? 0, record.lastCrashAtMs)
    }
    records.delete(record.fingerprint)
    records.set(record.fingerprint, merged)
    const oldest = records.keys().next().value
    if (records.size > MAX_SUSPECTS && oldest !== undefined) records.delete(oldest)
    return merged
  }

  const recordCrash = (fingerprint: string, startId: string): SuspectRecord[] => {
    if (records.get(fingerprint)?.crashedStarts.includes(startId) === true) return []
    return [merge({ fingerprint, crashedStarts: [startId], lastCrashAtMs: storeNowMs() ?? 0 })]
  }

  return {
    onConnectionLost: (fingerprint, startId) => {
      const nowMs = clock.nowMs()
      evictUncorrelated(nowMs)
      if (endpointLostAtMs.has(startId)) return recordCrash(fingerprint, startId)
      lostConnections.set(startId, [...lostConnections.get(startId) ?? [], { fingerprint, lostAtMs: nowMs }])
      return []
    },
    onEndpointLost: startId => {
      const nowMs = clock.nowMs()
      evictUncorrelated(nowMs)
      endpointLostAtMs.set(startId, nowMs)
      const connections = lostConnections.get(startId) ?? []
      lostConnections.delete(startId)
      return connections.flatMap(connection => recordCrash(connection.fingerprint, startId))
    },
    merge,
    remove: fingerprint => { records.delete(fingerprint) },
    isQuarantined: fingerprint => (records.get(fingerprint)?.crashedStarts.length ?? 0) >= QUARANTINE_CRASH_COUNT,
    isEmpty: () => records.size === 0,
    records: () => [...records.values()]
  }
}
