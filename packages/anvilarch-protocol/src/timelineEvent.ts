/** Events of the timeline. Each daemon keeps its latest events and serves them at `/timeline`. */

/** An event; `atMs` is wall-clock time, `sequence` orders the events of one process. */
export interface TimelineEvent {
  atMs: number
  sequence: number
  process: string
  /** `slice.event`, for example `attempts.started`. */
  event: string
  requestId?: string
  attemptId?: string
  jobId?: string
  detail?: Record<string, string | number | boolean>
}
