/** Attempts of one request that are in progress, and their load at endpoints. */
import type { Endpoint } from '../model/types'
import type { ForwardParts } from './forwardTypes'
import type { Attempt, ResponseHead } from './runAttempt'

/** An attempt in progress and its endpoint. */
export interface RunningAttempt {
  endpoint: Endpoint
  /** Undefined while the attempt is being started. */
  attempt: Attempt | undefined
  /** Head of a stream; undefined until it has come. */
  head: ResponseHead | undefined
  /** Time of the send; undefined after its first event or its response. */
  sentAtMs: number | undefined
  /** Wait for a slot that was expected at the send. */
  expectedWaitMs: number
  lastEventAtMs: number | undefined
  /** Whether the endpoint has sent no event or response for the response timeout. */
  isSilent: boolean
}

/** An attempt that was aborted, and whether its endpoint may have run the request. */
export interface AbortedAttempt extends RunningAttempt {
  mayHaveRun: boolean
}

/** Attempts in progress. Usually there is one; while it is silent, another one may be sent beside it. */
export interface RunningAttempts {
  /** Starts an attempt and counts it as load, unless `start` throws. `start` is called with the entry of the attempt. */
  add: (endpoint: Endpoint, expectedWaitMs: number, start: (entry: RunningAttempt) => Attempt) => void
  /** Stops counting an attempt as load. @returns whether it was in progress */
  release: (entry: RunningAttempt) => boolean
  /** Aborts attempts and stops counting them as load. @returns those that were in progress */
  abort: (entries: readonly RunningAttempt[]) => AbortedAttempt[]
  /** @returns attempts that still wait for a connection */
  unsent: () => RunningAttempt[]
  all: () => RunningAttempt[]
  /** @returns the attempts beside the given one */
  others: (entry: RunningAttempt) => RunningAttempt[]
  count: () => number
  areAllSilent: () => boolean
}

/**
 * @param parts - loads, usage reports and clock
 * @returns a set without attempts
 */
export function createRunningAttempts ({ clock, loads, usageReporter }: Pick<ForwardParts, 'clock' | 'loads' | 'usageReporter'>): RunningAttempts {
  const entries = new Set<RunningAttempt>()

  const release = (entry: RunningAttempt): boolean => {
    if (!entries.delete(entry)) return false
    loads.onEnded(entry.endpoint.startId)
    usageReporter.onEnded(entry.endpoint)
    return true
  }

  return {
    add: (endpoint, expectedWaitMs, start) => {
      loads.onSent(endpoint.startId)
      usageReporter.onSent(endpoint)
      const entry: RunningAttempt = { endpoint, attempt: undefined, head: undefined, sentAtMs: clock.nowMs(), expectedWaitMs, lastEventAtMs: undefined, isSilent: false }
      entries.add(entry)
      try {
        entry.attempt = start(entry)
      } catch (error) {
        release(entry)
        throw error
      }
    },
    release,
    abort: aborted => aborted.filter(release).map(entry => {
      // A request that still waits for a connection is not sent after it is aborted.
      const mayHaveRun = entry.attempt?.mayHaveRun() ?? false
      entry.attempt?.abort()
      return { ...entry, mayHaveRun }
    }),
    unsent: () => [...entries].filter(({ attempt }) => attempt?.mayHaveRun() === false),
    all: () => [...entries],
    others: entry => [...entries].filter(other => other !== entry),
    count: () => entries.size,
    areAllSilent: () => [...entries].every(({ isSilent }) => isSilent)
  }
}
