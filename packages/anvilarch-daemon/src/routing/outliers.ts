/**
 * Which endpoints fail far more of their requests than the others of their service.
 *
 * Load alone favours such an endpoint: requests that fail at once leave it idle.
 */

/** Outliers by endpoint key. */
export interface OutlierTable {
  /** An endpoint has answered a request, with a failure of its own or not. */
  noteOutcome: (key: string, isFailure: boolean, nowMs: number) => void
  /**
   * Ejects the endpoints that have become outliers.
   *
   * @param keys - all endpoints of a service
   * @param nowMs - the time
   * @returns those that are to be asked only when no other may be
   */
  ejected: (keys: readonly string[], nowMs: number) => ReadonlySet<string>
  /** Forgets all endpoints but these. */
  retain: (keys: ReadonlySet<string>) => void
}

interface OutcomeRecord {
  /** The latest outcomes, oldest first; true for a failure. */
  outcomes: boolean[]
  ejectedAtMs: number
  ejectedUntilMs: number
  /** Ejections since the endpoint last proved itself. */
  ejections: number
}

/** Outcomes of an endpoint that are looked at. */
const WINDOW = 10
/** Fewer failures say nothing. */
const LEAST_FAILURES = 3
const LEAST_FAILURE_SHARE = 0.3
/** Requests that fail wherever they run are no fault of an endpoint, so it is held against the others. */
const TIMES_THE_OTHERS = 3
const LEAST_OTHERS = 3
const EJECTION_MS = 2000
const MAX_EJECTION_MS = 30_000
/** Answers without a failure after which an endpoint that was ejected counts as well again. */
const PROBATION = 5
/** More endpoints are never ejected, since the others have to bear the load. */
const MAX_EJECTED_SHARE = 0.5

const NONE: ReadonlySet<string> = new Set()

/**
 * @param onEjected - told of each endpoint, and for how long it is ejected
 * @returns a table that ejects nobody
 */
export function createOutlierTable (onEjected: (key: string, durationMs: number) => void): OutlierTable {
  const records = new Map<string, OutcomeRecord>()

  const recordOf = (key: string): OutcomeRecord => {
    let record = records.get(key)
    if (record === undefined) {
      record = { outcomes: [], ejectedAtMs: Number.NEGATIVE_INFINITY, ejectedUntilMs: Number.NEGATIVE_INFINITY, ejections: 0 }
      records.set(key, record)
    }
    return record
  }

  const eject = (key: string, nowMs: number): void => {
    const record = recordOf(key)
    const durationMs = Math.min(EJECTION_MS * 2 ** record.ejections, MAX_EJECTION_MS)
    record.ejectedAtMs = nowMs
    record.ejectedUntilMs = nowMs + durationMs
    record.ejections++
    record.outcomes = []
    onEjected(key, durationMs)
  }

  /** What an endpoint does now says more than what another one did when it was ejected. */
  const takeBackOldest = (ejected: Set<string>, nowMs: number): void => {
    const [oldest] = [...ejected].sort((left, right) => recordOf(left).ejectedAtMs - recordOf(right).ejectedAtMs)
    recordOf(oldest).ejectedUntilMs = nowMs
    ejected.delete(oldest)
  }

  const isOutlier = (key: string, keys: readonly string[]): boolean => {
    const record = records.get(key)
    if (record === undefined) return false
    const own = failuresOf(record.outcomes)
    if (record.ejections > 0 && own > 0) return true
    if (own < LEAST_FAILURES) return false
    const others = keys.filter(other => other !== key).flatMap(other => records.get(other)?.outcomes ?? [])
    const share = own / record.outcomes.length
    if (others.length < LEAST_OTHERS) return false
    const othersShare = failuresOf(others) / others.length
    return share >= LEAST_FAILURE_SHARE && share > othersShare * TIMES_THE_OTHERS
  }

  return {
    noteOutcome: (key, isFailure, nowMs) => {
      const record = recordOf(key)
      // What was sent before the ejection proves nothing more.
      if (nowMs < record.ejectedUntilMs) return
      record.outcomes.push(isFailure)
      if (record.outcomes.length > WINDOW) record.outcomes.shift()
      if (record.ejections > 0 && record.outcomes.length >= PROBATION && failuresOf(record.outcomes) === 0) record.ejections = 0
    },
    ejected: (keys, nowMs) => {
      if (records.size === 0) return NONE
      const most = Math.floor(keys.length * MAX_EJECTED_SHARE)
      if (most === 0) return NONE
      const out = new Set(keys.filter(key => nowMs < (records.get(key)?.ejectedUntilMs ?? nowMs)))
      for (const key of keys) {
        if (out.has(key) || !isOutlier(key, keys)) continue
        if (out.size >= most) takeBackOldest(out, nowMs)
        eject(key, nowMs)
        out.add(key)
      }
      return out
    },
    retain: keys => {
      for (const key of records.keys()) if (!keys.has(key)) records.delete(key)
    }
  }
}

function failuresOf (outcomes: readonly boolean[]): number {
  return outcomes.filter(isFailure => isFailure).length
}
