/**
 * Finds the requests that crash each endpoint which runs them, and keeps them from the endpoints that are left. Pure.
 *
 * Answers a request whose processing ends the endpoint: its caller sends it again, to any gateway, and each time an endpoint
 * and all requests in progress there are lost. One sees endpoints restart one after another, each with the same request
 * in progress. A request under suspicion may run until it has been seen in the crashes of three starts of endpoints.
 */
import type { Clock } from 'anvilarch-utils'

/** In which crashes a request has been. */
export interface SuspectRecord {
  fingerprint: string
  /** Starts of endpoints that were lost while the request was in progress there. */
  crashedStarts: string[]
  /** Store time of the last crash, in milliseconds. */
  lastCrashAtMs: number
}

/** Requests that were in progress at crashes. */
export interface SuspectTable {
  /** The connection to an endpoint broke while the request was in progress there. Not a crash yet: connections break for other reasons. */
  onConnectionLost: (fingerprint: string, startId: string) => SuspectRecord[]
  /** The endpoint refuses connections, has been replaced or is no longer reached by its agent. @returns records that are new by this */
  onEndpointLost: (startId: string) => SuspectRecord[]
  /** Takes what another gateway has seen. @returns the record with what is known here */
  merge: (record: SuspectRecord) => SuspectRecord
  remove: (fingerprint: string) => void
  /** @returns whether the request may not be sent to any endpoint */
  isQuarantined: (fingerprint: string) => boolean
  /** @returns whether no request is under suspicion, so that nothing needs to be looked up */
  isEmpty: () => boolean
  records: () => SuspectRecord[]
}

/**
 * Crashes after which a request is not run again. Two may be chance: where a fifth of the endpoints is lost at once, one retry
 * in five meets a second crash.
 */
export const QUARANTINE_CRASH_COUNT = 3

/** A break and the loss of the endpoint belong together within this time: a restart is listed after at most a heartbeat of 1.2 s. */
export const CRASH_CORRELATION_MS = 2500

/** A request is forgotten this long after the last crash that it was in. */
export const SUSPECT_RETENTION_MS = 600_000

/** Records kept at most; the oldest goes first, so that a flood of crashes cannot fill the memory. */
export const MAX_SUSPECTS = 2000

interface Evidence {
  fingerprint: string
  brokenAtMs: number
}

/**
 * @param clock - local clock
 * @param storeNowMs - the store's clock, by which records of several gateways compare
 * @returns a table without suspects
 */
export function createSuspectTable (clock: Clock, storeNowMs: () => number | undefined): SuspectTable {
  const records = new Map<string, SuspectRecord>()
  const brokenAt = new Map<string, Evidence[]>()
  const lostAtMs = new Map<string, number>()

  const forgetOldEvidence = (nowMs: number): void => {
    for (const [startId, evidence] of brokenAt) {
      const fresh = evidence.filter(entry => nowMs - entry.brokenAtMs <= CRASH_CORRELATION_MS)
      if (fresh.length === 0) brokenAt.delete(startId)
      else brokenAt.set(startId, fresh)
    }
    for (const [startId, atMs] of lostAtMs) if (nowMs - atMs > CRASH_CORRELATION_MS) lostAtMs.delete(startId)
  }

  const learn = (record: SuspectRecord): SuspectRecord => {
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

  const confirm = (fingerprint: string, startId: string): SuspectRecord[] => {
    if (records.get(fingerprint)?.crashedStarts.includes(startId) === true) return []
    return [learn({ fingerprint, crashedStarts: [startId], lastCrashAtMs: storeNowMs() ?? 0 })]
  }

  return {
    onConnectionLost: (fingerprint, startId) => {
      const nowMs = clock.nowMs()
      forgetOldEvidence(nowMs)
      if (lostAtMs.has(startId)) return confirm(fingerprint, startId)
      brokenAt.set(startId, [...brokenAt.get(startId) ?? [], { fingerprint, brokenAtMs: nowMs }])
      return []
    },
    onEndpointLost: startId => {
      const nowMs = clock.nowMs()
      forgetOldEvidence(nowMs)
      lostAtMs.set(startId, nowMs)
      const evidence = brokenAt.get(startId) ?? []
      brokenAt.delete(startId)
      return evidence.flatMap(entry => confirm(entry.fingerprint, startId))
    },
    merge: learn,
    remove: fingerprint => { records.delete(fingerprint) },
    isQuarantined: fingerprint => (records.get(fingerprint)?.crashedStarts.length ?? 0) >= QUARANTINE_CRASH_COUNT,
    isEmpty: () => records.size === 0,
    records: () => [...records.values()]
  }
}
