/** Retries a commit until its outcome is known. */
import { AnvilarchError, type Clock, type Random, sleep, toAnvilarchError } from 'anvilarch-utils'
import type { Commit, CommitResult, TablePort } from 'anvilarch-protocol'

/** Limits of `commitWithRetry`. */
export interface CommitRetryOptions {
  /** Maximum number of times that the commit is sent. */
  maxAttempts: number
  /** Delay before the second attempt; doubles after each further one. */
  backoffMs: number
}

/** Short, since a caller waits for the response. */
export const DEFAULT_OPTIONS: CommitRetryOptions = { maxAttempts: 4, backoffMs: 100 }

/** Retry time for a client whose commit has an unknown outcome. */
const RETRY_AFTER_MS = 5_000
const BACKOFF_JITTER = 0.3

/** Dependencies of `commitWithRetry`. */
export interface CommitRetryContext {
  table: TablePort
  clock: Clock
  random: Random
  signal?: AbortSignal
}

/**
 * The response of the table may be lost after the write took effect: the caller would receive an error although its job runs.
 * The table returns the first outcome for a repeated commit id, so a retry determines the outcome.
 *
 * @param context - table, clock and random numbers
 * @param commit - commit that is sent unchanged each time
 * @param step - step to name in an error
 * @param options - limits
 * @returns the outcome
 * @throws AnvilarchError with `ran` `unknown` if the outcome stays unknown, or `not_run` if no attempt reached the table
 */
export async function commitWithRetry (
  context: CommitRetryContext, commit: Commit, step: string, options: CommitRetryOptions = DEFAULT_OPTIONS
): Promise<CommitResult> {
  let mayHaveRun = false
  let backoffMs = options.backoffMs
  let lastError: AnvilarchError | undefined
  for (let attempt = 1; attempt <= options.maxAttempts; attempt++) {
    try {
      return await context.table.commit(commit, context.signal)
    } catch (error) {
      lastError = toAnvilarchError(error, { code: 'platform_unavailable', step, ran: 'unknown' })
      mayHaveRun ||= lastError.ran !== 'not_run'
    }
    // If the table rejects the first attempt, the commit was certainly not run, so the caller need not wait.
    if (!mayHaveRun || context.signal?.aborted === true) break
    if (attempt < options.maxAttempts) await sleep(context.clock, context.random.jitter(backoffMs, BACKOFF_JITTER), context.signal)
    backoffMs *= 2
  }
  throw commitError(lastError, step, mayHaveRun)
}

function commitError (lastError: AnvilarchError | undefined, step: string, mayHaveRun: boolean): AnvilarchError {
  const retryAfterMs = lastError?.retryAfterMs ?? RETRY_AFTER_MS
  if (!mayHaveRun) {
    return new AnvilarchError('The table service is not available; nothing was changed. Send the request again later.', {
      code: 'platform_unavailable', step, peer: lastError?.peer, ran: 'not_run', retryAfterMs, cause: lastError
    })
  }
  return new AnvilarchError(
    'The table service did not say whether the change took effect. Send the same request again with the same Idempotency-Key to learn what became of it.',
    { code: 'outcome_unknown', step, peer: lastError?.peer, ran: 'unknown', retryAfterMs, cause: lastError }
  )
}
