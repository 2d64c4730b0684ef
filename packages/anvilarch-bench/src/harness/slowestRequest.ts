/** Reports the timeline of the slowest request of a run, which shows where its time was spent. */
import type { TimelineEvent } from 'anvilarch-protocol'
import { getJson } from './fleetCounters'
import type { BenchFleet } from './fleetTypes'

/** Records the slowest request. */
export interface SlowestRequest {
  record: (requestId: string, durationMs: number) => void
  /** @returns its events from all daemons, with times relative to the first; undefined when no request was recorded */
  describe: (fleet: BenchFleet) => Promise<string | undefined>
}

/** Typical duration of an attempt: most attempts that are running were accepted within this time. */
const LOOKBACK_MS = 1500
const MAX_EVENTS = 10_000

/** @returns a recorder without a request */
export function createSlowestRequest (): SlowestRequest {
  let slowest: { requestId: string, durationMs: number } | undefined
  return {
    record: (requestId, durationMs) => {
      if (slowest === undefined || durationMs > slowest.durationMs) slowest = { requestId, durationMs }
    },
    describe: async fleet => {
      if (slowest === undefined) return undefined
      const { requestId, durationMs } = slowest
      const events = await readEvents(fleet, requestId)
      const concurrent = await describeConcurrentEvents(fleet, events)
      return `slowest: ${requestId}, ${durationMs.toFixed(0)} ms: ${describeEvents(events)}; ${concurrent}`
    }
  }
}

/**
 * @param events - events of one request, from daemons of this host
 * @returns the events in order, with times relative to the first
 */
export function describeEvents (events: ReadonlyArray<Pick<TimelineEvent, 'atMs' | 'process' | 'event' | 'detail'>>): string {
  const sorted = [...events].sort((left, right) => left.atMs - right.atMs)
  return sorted.map(({ atMs, process, event, detail }) => `+${(atMs - sorted[0].atMs).toFixed(0)} ${process} ${event}${describeDetail(detail)}`).join(', ')
}

/** Counts the other events at the agent while the request waited for its first token. */
async function describeConcurrentEvents (fleet: BenchFleet, events: readonly TimelineEvent[]): Promise<string> {
  const accepted = events.find(event => event.event === 'attempts.accepted')
  const agent = fleet.agents.find(candidate => candidate.name === accepted?.process)
  const first = events.find(event => event.event === 'attempts.first_token' && event.process === accepted?.process)
  if (accepted === undefined || agent === undefined || first === undefined) return 'no agent accepted it'
  const page = await getJson<{ events: TimelineEvent[] }>(`${agent.operationsUrl}/timeline?since=${Math.floor(accepted.atMs) - LOOKBACK_MS}&limit=${MAX_EVENTS}`)
  return `at ${agent.name} from ${LOOKBACK_MS} ms before until its first token: ${countEvents(page.events.filter(event => event.atMs <= first.atMs))}`
}

/**
 * @param events - events of one agent
 * @returns the number of events of each kind, by class of work where it is known
 */
export function countEvents (events: ReadonlyArray<Pick<TimelineEvent, 'event' | 'attemptId' | 'detail'>>): string {
  const classes = new Map(events.filter(event => event.detail?.class !== undefined).map(event => [event.attemptId, String(event.detail?.class)]))
  const counts = new Map<string, number>()
  for (const { event, attemptId } of events) {
    const name = `${event}${attemptId === undefined ? '' : ` ${classes.get(attemptId) ?? 'earlier'}`}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].map(([name, count]) => `${count} ${name}`).join(', ')
}

function describeDetail (detail: TimelineEvent['detail']): string {
  const fields = Object.entries(detail ?? {}).map(([name, value]) => `${name} ${String(value)}`)
  return fields.length === 0 ? '' : ` (${fields.join(' ')})`
}

async function readEvents (fleet: BenchFleet, requestId: string): Promise<TimelineEvent[]> {
  const daemons = [...fleet.gateways, ...fleet.agents]
  const pages = await Promise.all(daemons.map(async daemon => {
    const page = await getJson<{ events: TimelineEvent[] }>(`${daemon.operationsUrl}/timeline?request=${requestId}`).catch(() => ({ events: [] }))
    return page.events
  }))
  return pages.flat()
}
