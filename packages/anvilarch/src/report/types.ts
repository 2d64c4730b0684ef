/** What a report of logs shows. */

/** One second of all processes together. */
export interface ReportSecond {
  /** Seconds since the first log line. */
  second: number
  /** Requests that arrived, and what became of those that ended. */
  arrived: number
  answered: number
  late: number
  refused: number
  failed: number
  left: number
  inProgress: number
  /** Slots of all engines whose agents have told, by their use. */
  slots: number
  online: number
  batchRunning: number
  batchPaused: number
  /** Runs of items that were broken off to make room, or for other reasons. */
  pauses: number
  /** Oldest knowledge of any gateway, in milliseconds. */
  configurationAgeMs: number
  endpointsAgeMs: number
}

/** A moment that may explain others. */
export interface ReportMoment {
  second: number
  process: string
  message: string
  detail: string
}

/** Requests or items that were lost or late for one reason. */
export interface ReportLoss {
  kind: string
  outcome: string
  reason: string
  count: number
  /** Seconds of the first and the last. */
  fromSecond: number
  untilSecond: number
  /** The second in which most of them were. */
  worstSecond: number
  worstCount: number
  /** Some of their ids, for `explain`. */
  ids: string[]
}

/** All of it. */
export interface LogReport {
  startedAt: string
  processCount: number
  lineCount: number
  seconds: ReportSecond[]
  moments: ReportMoment[]
  losses: ReportLoss[]
}
