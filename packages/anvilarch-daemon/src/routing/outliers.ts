/**
 * Detects endpoints that fail far more of their requests than the other endpoints of their service.
 *
 * Load-based routing alone favours such an endpoint: requests that fail at once leave it idle.
 */

/** Ejects outliers, by endpoint key. */
export interface OutlierTable {
  /** Records the outcome of a request at an endpoint. */
  noteOutcome: (key: string, isFailure: boolean, nowMs: number) => void
  /**
   * Ejects the endpoints that have become outliers.
   *
   * @param keys - all endpoints of a service
   * @param nowMs - current time
   * @returns ejected endpoints, to be used only when no other is allowed
   */
  ejected: (keys: readonly string[], nowMs: number) => ReadonlySet<string>
  /** Removes all endpoints except these. */
  retain: (keys: ReadonlySet<string>) => void
}

interface OutcomeRecord {
  /** The latest outcomes, oldest first; true for a failure. */
  outcomes: boolean[]
  ejectedAtMs: number
  ejectedUntilMs: number
  /** Ejections since the endpoint last passed its probation. */
  ejections: number
}

/** Number of latest outcomes of an endpoint that are considered. */
const WINDOW_OUTCOMES = 10
/** Fewer failures are not significant. */
const MIN_FAILURES = 3
const MIN_FAILURE_SHARE = 0.3
/** Minimum ratio to the failure share of the other endpoints, since requests that fail wherever they run are no fault of an endpoint. */
const MIN_RATIO_TO_OTHERS = 3
const MIN_OUTCOMES_OF_OTHERS = 3
const EJECTION_MS = 2000
const MAX_EJECTION_MS = 30_000
/** Consecutive outcomes without a failure after which an ejected endpoint counts as healthy again. */
const PROBATION_OUTCOMES = 5
/** Maximum share of a service's endpoints that are ejected, since the others must carry the load. */
const MAX_EJECTED_SHARE = 0.5

const NO_ENDPOINTS: ReadonlySet<string> = new Set()

/**
 * @param onEjected - called with each ejected endpoint and the duration of its ejection
 * @returns a table without outcomes
 */
export function createOutlierTable (onEjected: (key: string, durationMs: number) => void): OutlierTable {
  const records = new Map<string, OutcomeRecord>()

  const getOrCreateRecord = (key: string): OutcomeRecord => {
    let record = records.get(key)
    if (record === undefined) {
      record = { outcomes: [], ejectedAtMs: Number.NEGATIVE_INFINITY, ejectedUntilMs: Number.NEGATIVE_INFINITY, ejections: 0 }
      records.set(key, record)
    }
    return record
  }

  const eject = (key: string, nowMs: number): void => {
    const record = getOrCreateRecord(key)
    const durationMs = Math.min(EJECTION_MS * 2 ** record.ejections, MAX_EJECTION_MS)
    record.ejectedAtMs = nowMs
    record.ejectedUntilMs = nowMs + durationMs
    record.ejections++
    record.outcomes = []
    onEjected(key, durationMs)
  }

  /** Makes room for a newly failing endpoint, since its failures are more recent than those of the oldest ejection. */
  const readmitOldest = (ejected: Set<string>, nowMs: number): void => {
    const [oldest] = [...ejected].sort((left, right) => getOrCreateRecord(left).ejectedAtMs - getOrCreateRecord(right).ejectedAtMs)
    getOrCreateRecord(oldest).ejectedUntilMs = nowMs
    ejected.delete(oldest)
  }

  const isOutlier = (key: string, keys: readonly string[]): boolean => {
    const record = records.get(key)
    if (record === undefined) return false
    const failures = failuresOf(record.outcomes)
    if (record.ejections > 0 && failures > 0) return true
    if (failures < MIN_FAILURES) return false
    const others = keys.filter(other => other !== key).flatMap(other => records.get(other)?.outcomes ?? [])
    const share = failures / record.outcomes.length
    if (others.length < MIN_OUTCOMES_OF_OTHERS) return false
    const othersShare = failuresOf(others) / others.length
    return share >= MIN_FAILURE_SHARE && share > othersShare * MIN_RATIO_TO_OTHERS
  }

  return {
    noteOutcome: (key, isFailure, nowMs) => {
      const record = getOrCreateRecord(key)
      // Outcomes of requests sent before the ejection are no new evidence.
      if (nowMs < record.ejectedUntilMs) return
      record.outcomes.push(isFailure)
      if (record.outcomes.length > WINDOW_OUTCOMES) record.outcomes.shift()
      if (record.ejections > 0 && record.outcomes.length >= PROBATION_OUTCOMES && failuresOf(record.outcomes) === 0) record.ejections = 0
    },
    ejected: (keys, nowMs) => {
      if (records.size === 0) return NO_ENDPOINTS
      const maxEjected = Math.floor(keys.length * MAX_EJECTED_SHARE)
      if (maxEjected === 0) return NO_ENDPOINTS
      const ejected = new Set(keys.filter(key => nowMs < (records.get(key)?.ejectedUntilMs ?? nowMs)))
      for (const key of keys) {
        if (ejected.has(key) || !isOutlier(key, keys)) continue
        if (ejected.size >= maxEjected) readmitOldest(ejected, nowMs)
        eject(key, nowMs)
        ejected.add(key)
      }
      return ejected
    },
    retain: keys => {
      for (const key of records.keys()) if (!keys.has(key)) records.delete(key)
    }
  }
}

function failuresOf (outcomes: readonly boolean[]): number {
  return outcomes.filter(isFailure => isFailure).length
}
