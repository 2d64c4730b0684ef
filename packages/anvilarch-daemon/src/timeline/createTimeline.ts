/** Timeline of one process: a ring buffer of its latest events. */
import type { TimelineEvent } from 'anvilarch-protocol'
import type { Clock } from 'anvilarch-utils'
import type { Timeline } from './types'

/** Options of `createTimeline`. */
export interface TimelineOptions {
  clock: Clock
  /** Process name recorded with each event. */
  process: string
  /** Maximum number of events; older ones are overwritten. */
  capacity: number
}

/** Default capacity: a few seconds of events of a busy gateway, at about 300 bytes each. */
export const DEFAULT_CAPACITY = 8192
/** Maximum number of events returned by a query without a limit. */
export const DEFAULT_QUERY_LIMIT = 1000

/**
 * @param options - clock, process name and capacity
 * @returns an empty timeline
 */
export function createTimeline (options: TimelineOptions): Timeline {
  const ring: TimelineEvent[] = []
  let sequence = 0

  const ordered = (): TimelineEvent[] => {
    if (ring.length < options.capacity) return ring
    const oldest = sequence % options.capacity
    return [...ring.slice(oldest), ...ring.slice(0, oldest)]
  }

  return {
    record: (event, fields) => {
      ring[sequence % options.capacity] = { atMs: options.clock.wallMs(), sequence, process: options.process, event, ...fields }
      sequence++
    },
    query: (filter = {}) => {
      const matching = ordered().filter(event =>
        (filter.requestId === undefined || event.requestId === filter.requestId) &&
        (filter.jobId === undefined || event.jobId === filter.jobId) &&
        (filter.sinceMs === undefined || event.atMs >= filter.sinceMs))
      return matching.slice(-(filter.limit ?? DEFAULT_QUERY_LIMIT))
    }
  }
}
