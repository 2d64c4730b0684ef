/** Data of a report on logs. */

/** Totals of all processes in one second. */
export interface ReportSecond {
  /** Seconds since the first log line. */
  second: number
  /** Requests that arrived, and those that ended in this second by outcome; `cut` were closed by their gateways without a complete response, `left` by their clients. */
  arrived: number
  answered: number
  late: number
  refused: number
  failed: number
  cut: number
  left: number
  inProgress: number
  /** Slots of all endpoints whose agents have reported, and their usage. */
  slots: number
  online: number
  batchRunning: number
  batchPaused: number
  /** Runs of items that were aborted, by preemption or for other reasons. */
  pauses: number
  /** Age of the oldest configuration and of the oldest list of endpoints at any gateway. */
  configurationAgeMs: number
  endpointsAgeMs: number
}

/** An event that may explain failures. */
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
  /** Seconds of the first and the last loss. */
  fromSecond: number
  untilSecond: number
  /** Second with the most losses, and their number. */
  worstSecond: number
  worstCount: number
  /** Some of their ids, for `anvilarch explain`. */
  ids: string[]
}

/** A report on logs. */
export interface LogReport {
  startedAt: string
  processCount: number
  lineCount: number
  seconds: ReportSecond[]
  moments: ReportMoment[]
  losses: ReportLoss[]
}
