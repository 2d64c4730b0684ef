/** What else happened around a request: the state of its processes and endpoints, and processes that ended without logging a stop. */
import type { LogLine } from './readLogs'

/** Lines that close to the story may have caused it. The longest notice before a failure is a draining mark, 2 s ahead. */
const AROUND_MS = 2000

/** Events that tell of a process or an endpoint rather than of one request. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'started', 'stopping', 'gateway stopped', 'runner stopped', 'stop cut short', 'configuration in force', 'endpoint listed',
  'endpoint removed from the list', 'store does not serve this host', 'store answers again', 'feed lost', 'feed answers again', 'table listing failed',
  'feed history lost, listing again', 'uncaught exception', 'unhandled rejection', 'runner step failed'
])

/** A process that was started again although it had not logged that it stops. */
export interface AbruptEnd {
  process: string
  lastLineAt: string
  startedAgainAt: string
}

/**
 * @param lines - of all processes
 * @param story - lines about one id, in order
 * @returns lines about the processes and endpoints of the story, shortly before, during and after it
 */
export function linesAround (lines: readonly LogLine[], story: readonly LogLine[]): LogLine[] {
  if (story.length === 0) return []
  const fromMs = Date.parse(story[0].at) - AROUND_MS
  const untilMs = Date.parse(story[story.length - 1].at) + AROUND_MS
  const processes = new Set(story.map(line => line.process))
  const endpoints = new Set(story.map(line => line.endpoint).filter(endpoint => endpoint !== undefined))
  return lines
    .filter(line => STATE_EVENTS.has(line.message))
    .filter(line => Date.parse(line.at) >= fromMs && Date.parse(line.at) <= untilMs)
    .filter(line => line.endpoint === undefined ? processes.has(line.process) : processes.has(line.process) && endpoints.has(line.endpoint))
    .sort((a, b) => Date.parse(a.at) - Date.parse(b.at))
}

/** Failures this close to each other have most likely one cause, such as connections that were cut together. */
const TOGETHER_MS = 20

/**
 * @param lines - of all processes
 * @param story - lines about one request, in order
 * @returns how many other requests that were in progress at any process failed in the same moment, or were left by their clients
 */
export function failedTogether (lines: readonly LogLine[], story: readonly LogLine[]): number {
  const end = story.find(line => line.message === 'request ended' && line.outcome !== 'answered')
  if (end === undefined) return 0
  const endMs = Date.parse(end.at)
  return lines.filter(line => line.message === 'request ended' && line !== end && line.outcome !== 'answered' && line.outcome !== 'overloaded' &&
    Math.abs(Date.parse(line.at) - endMs) <= TOGETHER_MS).length
}

/**
 * A process that is killed logs nothing about it; a second start without a stop before it tells.
 *
 * @param lines - of all processes
 * @returns ends without a logged stop, in their order
 */
export function findAbruptEnds (lines: readonly LogLine[]): AbruptEnd[] {
  const ends: AbruptEnd[] = []
  const last = new Map<string, { at: string, stopping: boolean }>()
  const inOrder = [...lines].sort((a, b) => Date.parse(a.at) - Date.parse(b.at))
  for (const line of inOrder) {
    const before = last.get(line.process)
    if (line.message === 'started' && before !== undefined && !before.stopping) {
      ends.push({ process: line.process, lastLineAt: before.at, startedAgainAt: line.at })
    }
    const stopping = line.message === 'stopping' || (line.message !== 'started' && (before?.stopping ?? false))
    last.set(line.process, { at: line.at, stopping })
  }
  return ends.sort((a, b) => Date.parse(a.lastLineAt) - Date.parse(b.lastLineAt))
}
