/** Interface of the timeline: the latest events of this process. */
import type { TimelineEvent } from 'anvilarch-protocol'

/** Identifiers and details of an event. */
export type EventFields = Partial<Pick<TimelineEvent, 'requestId' | 'attemptId' | 'jobId' | 'detail'>>

/** Records and returns events of this process. */
export interface Timeline {
  record: (event: string, fields?: EventFields) => void
  /** @returns the latest matching events, oldest first */
  query: (filter?: { requestId?: string, jobId?: string, sinceMs?: number, limit?: number }) => TimelineEvent[]
}
