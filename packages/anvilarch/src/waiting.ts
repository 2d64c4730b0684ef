/** Polls until a condition is met. */
import { type Clock, sleep } from 'anvilarch-utils'
import { CliError } from './cliError'
import { isRetryable } from './gateway/failures'

/** Options of `pollUntil`. */
export interface PollOptions<State> {
  clock: Clock
  /** No limit if undefined. */
  timeoutMs: number | undefined
  intervalMs: number
  poll: () => Promise<State>
  isDone: (state: State) => boolean
  onState: (state: State) => void
}

/** Result of a wait; `state` is the last one read. */
export interface PollResult<State> {
  isDone: boolean
  state: State
}

/** Time between two polls. */
export const DEFAULT_POLL_INTERVAL_MS = 500

/** A wait, also one without a limit, fails after this many failed polls in a row. */
const MAX_CONSECUTIVE_FAILURES = 20

/**
 * Polls until `isDone` returns true or the time limit is reached. Gateways may be replaced during the wait, so a failed poll
 * doesn't end it.
 *
 * @param options - how to poll and when to stop
 * @returns the last state, and whether the condition was met
 * @throws CliError when no poll succeeded within the time limit, when too many failed in a row or when a retry can't succeed
 */
export async function pollUntil<State> (options: PollOptions<State>): Promise<PollResult<State>> {
  const { clock, timeoutMs = Infinity, intervalMs } = options
  const endMs = clock.nowMs() + timeoutMs
  let last: { state: State } | undefined
  let consecutiveFailures = 0
  for (;;) {
    try {
      last = { state: await options.poll() }
      consecutiveFailures = 0
      options.onState(last.state)
      if (options.isDone(last.state)) return { isDone: true, state: last.state }
    } catch (error) {
      consecutiveFailures++
      const isTransient = error instanceof CliError && isRetryable(error) && consecutiveFailures < MAX_CONSECUTIVE_FAILURES
      if (!isTransient) throw error
      if (clock.nowMs() + intervalMs > endMs && last === undefined) throw error
    }
    if (clock.nowMs() + intervalMs > endMs && last !== undefined) return { isDone: false, state: last.state }
    await sleep(clock, intervalMs)
  }
}
