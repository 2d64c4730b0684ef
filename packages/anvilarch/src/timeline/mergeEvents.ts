/** Merges the events of several processes into one ordered list. */
import type { TimelineEvent } from 'anvilarch-protocol'
import { type Cell, formatTable } from '../output/table'

const LAST_DIGITS_OF_ID = 8

/**
 * Merges events. The wall clocks of two hosts may differ by some milliseconds, so a response can precede its request.
 * Within one process, events are ordered by sequence, also if its wall clock was set back in between.
 *
 * @param lists - events of each process
 * @returns all events without duplicates, sorted by wall-clock time, then process, then sequence
 */
export function mergeEvents (lists: TimelineEvent[][]): TimelineEvent[] {
  const byKey = new Map<string, SortableEvent>()
  for (const entry of lists.flatMap(assignSortTimes)) {
    const { process, atMs, sequence } = entry.event
    byKey.set(`${process} ${atMs} ${sequence}`, entry)
  }
  return [...byKey.values()].sort(compareEvents).map(({ event }) => event)
}

/** An event with the time by which it is sorted: no earlier than that of any previous event of its process. */
interface SortableEvent {
  event: TimelineEvent
  sortMs: number
}

function assignSortTimes (list: TimelineEvent[]): SortableEvent[] {
  let sortMs = Number.NEGATIVE_INFINITY
  return [...list].sort((left, right) => left.sequence - right.sequence).map(event => {
    sortMs = Math.max(sortMs, event.atMs)
    return { event, sortMs }
  })
}

function compareEvents (left: SortableEvent, right: SortableEvent): number {
  const byTime = left.sortMs - right.sortMs
  return byTime || compareText(left.event.process, right.event.process) || left.event.sequence - right.event.sequence
}

/**
 * @param events - sorted events
 * @returns a table that includes the time since the first event
 */
export function formatEvents (events: TimelineEvent[]): string {
  const firstMs = events[0]?.atMs ?? 0
  const rows = events.map((event): Cell[] => [
    new Date(event.atMs).toISOString().slice(11, 23),
    `+${Math.round(event.atMs - firstMs)}`,
    event.process,
    event.event,
    event.attemptId?.slice(-LAST_DIGITS_OF_ID),
    formatDetail(event.detail)
  ])
  return formatTable(['TIME', 'MS', 'PROCESS', 'EVENT', 'ATTEMPT', 'DETAIL'], rows)
}

function formatDetail (detail: TimelineEvent['detail']): string {
  return Object.entries(detail ?? {}).map(([name, value]) => `${name}=${String(value)}`).join(' ')
}

function compareText (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
