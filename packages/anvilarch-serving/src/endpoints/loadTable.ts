/** How busy each endpoint is: what its agent has answered, and what this process has sent since. */
import type { Clock } from 'anvilarch-utils'
import type { LoadReport } from './peerMessages'

/** Load as far as this process can tell. */
export interface EndpointLoad {
  /** Requests that run or wait and do not give way; of this process alone where no agent has told. */
  online: number
  batchRunning: number
  /** Requests of this process that are in progress there. */
  ownInProgress: number
  /** Failures have been seen that other endpoints do not show. */
  suspected: boolean
  /** Time since the agent told; `Infinity` where it has not, or so long ago that it says nothing any more. */
  ageMs: number
}

/** Loads by start of an endpoint. */
export interface LoadTable {
  onReport: (report: LoadReport) => void
  onSent: (startId: string) => void
  onEnded: (startId: string) => void
  /** The endpoint failed to answer or answered with bytes that are no answer. */
  onFailure: (startId: string) => void
  onSuccess: (startId: string) => void
  loadOf: (startId: string) => EndpointLoad
  remove: (startId: string) => void
}

/** An older report than this says nothing, and own counts alone are used. */
export const REPORT_MAX_AGE_MS = 600

/** A report does not show what was sent this shortly before it came: the way to the agent and back. */
export const REPORT_ROUND_TRIP_MS = 3

/** First time that an endpoint is passed over after a failure, doubled by each further one. */
export const INITIAL_SUSPECT_MS = 300

/** Longest time that an endpoint is passed over before it is tried again. */
export const MAX_SUSPECT_MS = 4000

/** Of an endpoint that this process has heard nothing of, or has forgotten since it is gone. */
const UNKNOWN_LOAD: EndpointLoad = { online: 0, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: Infinity }

interface Entry {
  report?: LoadReport
  reportedAtMs: number
  ownInProgress: number
  /** Changes by this process since shortly before the last report. */
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
      const passOverMs = Math.min(MAX_SUSPECT_MS, INITIAL_SUSPECT_MS * 2 ** (entry.failures - 1))
      entry.suspectedUntilMs = clock.nowMs() + passOverMs
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
        return { online: ownInProgress, batchRunning: 0, ownInProgress, suspected: nowMs < entry.suspectedUntilMs, ageMs: Infinity }
      }
      return {
        online: Math.max(0, report.online + entry.sentAtMs.length - entry.endedAtMs.length),
        batchRunning: report.batchRunning,
        ownInProgress,
        suspected: nowMs < entry.suspectedUntilMs || !report.reachable,
        ageMs
      }
    },
    remove: startId => { entries.delete(startId) }
  }
}
