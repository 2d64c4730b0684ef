/** Tracks the load of each endpoint: the last report of its agent, and the requests that this process has sent since. */
import type { Clock } from 'anvilarch-utils'
import type { LoadReport } from './peerMessages'

/** Load of an endpoint as this process estimates it. */
export interface EndpointLoad {
  /** Requests that run or wait and are not preemptible; only those of this process if there is no recent report. */
  online: number
  batchRunning: number
  /** Requests of this process that are in progress at the endpoint. */
  ownInProgress: number
  /** Whether requests have recently failed there, or the agent cannot reach the engine. */
  suspected: boolean
  /** Age of the agent's last report; `Infinity` if there is none or it has expired. */
  ageMs: number
  /** Time between two events of a run at the endpoint; undefined if it is not known. */
  eventIntervalMs: number | undefined
}

/** Loads by the start of an endpoint. */
export interface LoadTable {
  onReport: (report: LoadReport) => void
  onSent: (startId: string) => void
  onEnded: (startId: string) => void
  /** Records that the endpoint sent no response, or bytes that are not a valid response. */
  onFailure: (startId: string) => void
  onSuccess: (startId: string) => void
  loadOf: (startId: string) => EndpointLoad
  remove: (startId: string) => void
}

/** Reports expire at this age; after that only this process's own counts are used. */
export const REPORT_MAX_AGE_MS = 600

/** Requests sent this shortly before a report arrives are not counted in it: the round trip to the agent. */
export const REPORT_ROUND_TRIP_MS = 3

/** How long an endpoint is suspected after its first failure; doubles with each further one in a row. */
export const INITIAL_SUSPECT_MS = 300

/** Longest time that an endpoint is suspected before it is tried again. */
export const MAX_SUSPECT_MS = 4000

/** Load of an endpoint that has no entry, because nothing was recorded yet or the entry was removed. */
const UNKNOWN_LOAD: EndpointLoad = { online: 0, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: Infinity, eventIntervalMs: undefined }

interface Entry {
  report?: LoadReport
  reportedAtMs: number
  ownInProgress: number
  /** Starts and ends of this process's requests, from `REPORT_ROUND_TRIP_MS` before the last report on. */
  sentAtMs: number[]
  endedAtMs: number[]
  failures: number
  suspectedUntilMs: number
}

/**
 * @param clock - local clock
 * @returns a table without loads
 */
export function createLoadTable (clock: Clock): LoadTable {
  const entries = new Map<string, Entry>()
  const entryOf = (startId: string): Entry => {
    let entry = entries.get(startId)
    if (entry === undefined) {
      entry = { reportedAtMs: -Infinity, ownInProgress: 0, sentAtMs: [], endedAtMs: [], failures: 0, suspectedUntilMs: -Infinity }
      entries.set(startId, entry)
    }
    return entry
  }

  return {
    onReport: report => {
      const entry = entryOf(report.startId)
      const nowMs = clock.nowMs()
      entry.report = report
      entry.reportedAtMs = nowMs
      entry.sentAtMs = entry.sentAtMs.filter(atMs => atMs > nowMs - REPORT_ROUND_TRIP_MS)
      entry.endedAtMs = entry.endedAtMs.filter(atMs => atMs > nowMs - REPORT_ROUND_TRIP_MS)
    },
    onSent: startId => {
      const entry = entryOf(startId)
      entry.ownInProgress++
      if (entry.report !== undefined) entry.sentAtMs.push(clock.nowMs())
    },
    onEnded: startId => {
      const entry = entries.get(startId)
      if (entry === undefined) return
      entry.ownInProgress = Math.max(0, entry.ownInProgress - 1)
      if (entry.report !== undefined) entry.endedAtMs.push(clock.nowMs())
    },
    onFailure: startId => {
      const entry = entries.get(startId)
      if (entry === undefined) return
      entry.failures++
      const suspectMs = Math.min(MAX_SUSPECT_MS, INITIAL_SUSPECT_MS * 2 ** (entry.failures - 1))
      entry.suspectedUntilMs = clock.nowMs() + suspectMs
    },
    onSuccess: startId => {
      const entry = entries.get(startId)
      if (entry === undefined) return
      entry.failures = 0
      entry.suspectedUntilMs = -Infinity
    },
    loadOf: startId => {
      const entry = entries.get(startId)
      if (entry === undefined) return UNKNOWN_LOAD
      const nowMs = clock.nowMs()
      const { report, ownInProgress } = entry
      const ageMs = nowMs - entry.reportedAtMs
      if (report === undefined || ageMs > REPORT_MAX_AGE_MS) {
        return { online: ownInProgress, batchRunning: 0, ownInProgress, suspected: nowMs < entry.suspectedUntilMs, ageMs: Infinity, eventIntervalMs: undefined }
      }
      return {
        online: Math.max(0, report.online + entry.sentAtMs.length - entry.endedAtMs.length),
        batchRunning: report.batchRunning,
        ownInProgress,
        suspected: nowMs < entry.suspectedUntilMs || !report.reachable,
        ageMs,
        eventIntervalMs: report.eventIntervalMs
      }
    },
    remove: startId => { entries.delete(startId) }
  }
}
