/** Pure functions that decide which failed runs of an item count as attempts, and when its attempts are exhausted. */

/** Runs of an item by this holder, and the endpoints where they failed. */
export interface RunHistory {
  /** Runs that failed. */
  runs: number
  /** Failed runs that count as attempts. */
  attempts: number
  /** Number of times that it was deferred without a run, since the last run. */
  deferrals: number
  /** Keys of the endpoints that accepted it in failed runs. */
  failedAt: ReadonlySet<string>
  /** Keys of the endpoints among them that returned a failure response. */
  failedResponses: ReadonlySet<string>
}

/** How a run failed: its endpoint returned a failure, was lost, or did not return a complete response. */
export type FailureKind = 'responded' | 'lost' | 'incomplete'

/** A run that failed. */
export interface FailedRun {
  /** Keys of the endpoints whose agents accepted it, the most recent last. */
  acceptedBy: readonly string[]
  kind: FailureKind
}

/** Bounds of the runs of an item. */
export interface RunBounds {
  maxAttempts: number
  /** Configured number of endpoints of its service. */
  replicas: number
}

/** Most failed runs that do not count as attempts. With the backoff they span about six minutes, in which endpoints can restart. */
const MAX_UNCOUNTED_RUNS = 16

/** Shared empty set, since most items never fail. */
const NO_ENDPOINTS: ReadonlySet<string> = new Set()

/** History of an item that was not run. */
export const NO_RUNS: RunHistory = { runs: 0, attempts: 0, deferrals: 0, failedAt: NO_ENDPOINTS, failedResponses: NO_ENDPOINTS }

/**
 * Repeated failures of the same endpoint may be caused by the endpoint as well as by the item. A repeated failure is
 * therefore not an attempt while other endpoints of the service have not failed the item too. The loss of an endpoint is
 * not an attempt of the items that it ran, since an item that crashes endpoints is quarantined.
 *
 * @param history - history before the run
 * @param run - the failed run
 * @param bounds - bounds of the runs
 * @returns the history with the run added
 */
export function afterFailedRun (history: RunHistory, run: FailedRun, bounds: RunBounds): RunHistory {
  const failedResponses = withFailedResponse(history.failedResponses, run)
  const isRepeat = run.kind === 'responded' && failedResponses === history.failedResponses && failedResponses.size < bounds.replicas
  const isAttempt = run.acceptedBy.length === 0 || !(isRepeat || run.kind === 'lost')
  return {
    runs: history.runs + 1,
    attempts: history.attempts + (isAttempt ? 1 : 0),
    deferrals: 0,
    failedAt: new Set([...history.failedAt, ...run.acceptedBy]),
    failedResponses
  }
}

function withFailedResponse (known: ReadonlySet<string>, { acceptedBy, kind }: FailedRun): ReadonlySet<string> {
  const last = acceptedBy.at(-1)
  return kind !== 'responded' || last === undefined || known.has(last) ? known : new Set([...known, last])
}

/**
 * @param history - history of an item
 * @param bounds - bounds of its runs
 * @returns whether the item is not run again
 */
export function areAttemptsExhausted ({ runs, attempts }: RunHistory, { maxAttempts }: RunBounds): boolean {
  return attempts >= maxAttempts || runs - attempts >= MAX_UNCOUNTED_RUNS
}
