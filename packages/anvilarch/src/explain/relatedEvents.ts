/** Finds events around a request: state changes of its processes and endpoints, and processes that ended without logging a stop. */
import type { LogLine } from './readLogs'

/** Events within this time may be the cause of a failure. The earliest one is the mark of draining, up to 2 s before it. */
const CONTEXT_MS = 2000

/** Messages about a process or an endpoint rather than about one request. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'started', 'stopping', 'gateway stopped', 'runner stopped', 'stop cut short', 'configuration in force', 'endpoint listed',
  'endpoint removed from the list', 'store does not serve this host', 'store answers again', 'feed lost', 'feed answers again', 'table listing failed',
  'feed history lost, listing again', 'uncaught exception', 'unhandled rejection', 'runner step failed'
])

/** A process that was restarted without having logged that it stops. */
export interface AbruptEnd {
  process: string
  lastLineAt: string
  startedAgainAt: string
}

/**
 * @param lines - of all processes
 * @param selected - lines about one id, sorted by time
 * @returns lines about the processes and endpoints of the selected lines, shortly before, during and after them
 */
export function findRelatedEvents (lines: readonly LogLine[], selected: readonly LogLine[]): LogLine[] {
  if (selected.length === 0) return []
  const fromMs = Date.parse(selected[0].at) - CONTEXT_MS
  const untilMs = Date.parse(selected[selected.length - 1].at) + CONTEXT_MS
  const processes = new Set(selected.map(line => line.process))
  const endpoints = new Set(selected.map(line => line.endpoint).filter(endpoint => endpoint !== undefined))
  return lines
    .filter(line => STATE_EVENTS.has(line.message))
    .filter(line => Date.parse(line.at) >= fromMs && Date.parse(line.at) <= untilMs)
    .filter(line => line.endpoint === undefined ? processes.has(line.process) : processes.has(line.process) && endpoints.has(line.endpoint))
    .sort((a, b) => Date.parse(a.at) - Date.parse(b.at))
}

/** Failures within this time of each other probably have one cause, such as connections that were cut together. */
const SAME_MOMENT_MS = 20

/**
 * @param lines - of all processes
 * @param selected - lines about one request, sorted by time
 * @returns the number of other requests, at any process, that failed or were closed by their clients at the same moment
 */
export function countConcurrentFailures (lines: readonly LogLine[], selected: readonly LogLine[]): number {
  const end = selected.find(line => line.message === 'request ended' && line.outcome !== 'answered')
  if (end === undefined) return 0
  const endMs = Date.parse(end.at)
  return lines.filter(line => line.message === 'request ended' && line !== end && line.outcome !== 'answered' && line.outcome !== 'overloaded' &&
    Math.abs(Date.parse(line.at) - endMs) <= SAME_MOMENT_MS).length
}

/**
 * Finds processes that ended abruptly. A killed process logs nothing about it, so a second start without a logged stop
 * before it is taken as evidence.
 *
 * @param lines - of all processes
 * @returns ends without a logged stop, sorted by time
 */
export function findAbruptEnds (lines: readonly LogLine[]): AbruptEnd[] {
  const ends: AbruptEnd[] = []
  const last = new Map<string, { at: string, stopping: boolean }>()
  const sorted = [...lines].sort((a, b) => Date.parse(a.at) - Date.parse(b.at))
  for (const line of sorted) {
    const before = last.get(line.process)
    if (line.message === 'started' && before !== undefined && !before.stopping) {
      ends.push({ process: line.process, lastLineAt: before.at, startedAgainAt: line.at })
    }
    const stopping = line.message === 'stopping' || (line.message !== 'started' && (before?.stopping ?? false))
    last.set(line.process, { at: line.at, stopping })
  }
  return ends.sort((a, b) => Date.parse(a.lastLineAt) - Date.parse(b.lastLineAt))
}
