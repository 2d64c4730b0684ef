/** Decides which failed runs of an item use up its attempts. Pure. */

/** How often an item was tried by this holder, and where it failed. */
export interface ItemTries {
  /** Runs that failed. */
  runs: number
  /** Failed runs that count as attempts. */
  attempts: number
  /** Times that it was put off without a run, since the last run. */
  deferrals: number
  /** Keys of the endpoints that took it in runs that failed. */
  failedAt: ReadonlySet<string>
  /** Keys of those among them that answered with a failure. */
  answeredBy: ReadonlySet<string>
}

/** How a run failed: its endpoint answered with a failure, was lost, or gave no whole answer. */
export type FailureKind = 'answered' | 'lost' | 'incomplete'

/** A run that failed. */
export interface FailedRun {
  /** Keys of the endpoints whose agents took it, the last one last. */
  acceptedBy: readonly string[]
  kind: FailureKind
}

/** What bounds the runs of an item. */
export interface RunBounds {
  maxAttempts: number
  /** Endpoints that its service is to have. */
  replicas: number
}

/** Runs that count as no attempt. With the waits between runs this is some six minutes, in which endpoints come back from a restart. */
const MAX_REPEATS = 16

/** Shared, since most items never fail. */
const NOWHERE: ReadonlySet<string> = new Set()

/** An item that was not tried. */
export const UNTRIED: ItemTries = { runs: 0, attempts: 0, deferrals: 0, failedAt: NOWHERE, answeredBy: NOWHERE }

/**
 * One endpoint that answers with failures says as much of itself as of the item, however often it is asked. So a run that
 * it fails again counts as no attempt while other endpoints of the service have not been heard. The loss of an endpoint
 * says nothing of the items that it ran; one that crashes endpoints is quarantined.
 *
 * @param tries - before the run
 * @param run - that failed
 * @param bounds - of the runs
 * @returns the tries with it
 */
export function afterFailedRun (tries: ItemTries, run: FailedRun, bounds: RunBounds): ItemTries {
  const answeredBy = withAnswer(tries.answeredBy, run)
  const isRepeat = run.kind === 'answered' && answeredBy === tries.answeredBy && answeredBy.size < bounds.replicas
  const isAttempt = run.acceptedBy.length === 0 || !(isRepeat || run.kind === 'lost')
  return {
    runs: tries.runs + 1,
    attempts: tries.attempts + (isAttempt ? 1 : 0),
    deferrals: 0,
    failedAt: new Set([...tries.failedAt, ...run.acceptedBy]),
    answeredBy
  }
}

function withAnswer (known: ReadonlySet<string>, { acceptedBy: takenBy, kind }: FailedRun): ReadonlySet<string> {
  const last = takenBy.at(-1)
  return kind !== 'answered' || last === undefined || known.has(last) ? known : new Set([...known, last])
}

/**
 * @param tries - of an item
 * @param bounds - of its runs
 * @returns whether it is not run again
 */
export function areUsedUp ({ runs, attempts }: ItemTries, { maxAttempts }: RunBounds): boolean {
  return attempts >= maxAttempts || runs - attempts >= MAX_REPEATS
}
