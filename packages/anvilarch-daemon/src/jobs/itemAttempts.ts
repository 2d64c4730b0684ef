/** Decides which failed runs of an item use up its attempts. Pure. */

/** How often an item was tried by this holder, and where it failed. */
export interface RunHistory {
  /** Runs that failed. */
  runs: number
  /** Failed runs that count as attempts. */
  attempts: number
  /** Times that it was put off without a run, since the last run. */
  deferrals: number
  /** Keys of the endpoints that took it in runs that failed. */
  failedAt: ReadonlySet<string>
  /** Keys of those among them that answered with a failure. */
  failedResponses: ReadonlySet<string>
}

/** How a run failed: its endpoint answered with a failure, was lost, or gave no whole answer. */
export type FailureKind = 'answered' | 'lost' | 'incomplete'

/** A run that failed. */
export interface FailedRun {
  /** Keys of the endpoints whose agents took it, the last one last. */
  takenBy: readonly string[]
  kind: FailureKind
}

/** What bounds the runs of an item. */
export interface RunBounds {
  maxAttempts: number
  /** Endpoints that its service is to have. */
  replicas: number
}

/** Runs that count as no attempt. With the waits between runs this is some six minutes, in which endpoints come back from a restart. */
const MAX_UNCOUNTED_RUNS = 16

/** Shared, since most items never fail. */
const NO_ENDPOINTS: ReadonlySet<string> = new Set()

/** An item that was not tried. */
export const NO_RUNS: RunHistory = { runs: 0, attempts: 0, deferrals: 0, failedAt: NO_ENDPOINTS, failedResponses: NO_ENDPOINTS }

/**
 * One endpoint that answers with failures says as much of itself as of the item, however often it is asked. So a run that
 * it fails again counts as no attempt while other endpoints of the service have not been heard. The loss of an endpoint
 * says nothing of the items that it ran; one that crashes endpoints is quarantined.
 *
 * @param history - before the run
 * @param run - that failed
 * @param bounds - of the runs
 * @returns the tries with it
 */
export function afterFailedRun (history: RunHistory, run: FailedRun, bounds: RunBounds): RunHistory {
  const failedResponses = withFailedResponse(history.failedResponses, run)
  const isRepeat = run.kind === 'answered' && failedResponses === history.failedResponses && failedResponses.size < bounds.replicas
  const isAttempt = run.takenBy.length === 0 || !(isRepeat || run.kind === 'lost')
  return {
    runs: history.runs + 1,
    attempts: history.attempts + (isAttempt ? 1 : 0),
    deferrals: 0,
    failedAt: new Set([...history.failedAt, ...run.takenBy]),
    failedResponses
  }
}

function withFailedResponse (known: ReadonlySet<string>, { takenBy, kind }: FailedRun): ReadonlySet<string> {
  const last = takenBy.at(-1)
  return kind !== 'answered' || last === undefined || known.has(last) ? known : new Set([...known, last])
}

/**
 * @param tries - of an item
 * @param bounds - of its runs
 * @returns whether it is not run again
 */
export function areAttemptsExhausted ({ runs, attempts }: RunHistory, { maxAttempts }: RunBounds): boolean {
  return attempts >= maxAttempts || runs - attempts >= MAX_UNCOUNTED_RUNS
}
