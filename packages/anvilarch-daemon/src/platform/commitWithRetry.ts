/** Sends a commit until its outcome is known. */
import { AnvilarchError, type Clock, type Random, sleep, toAnvilarchError } from 'anvilarch-utils'
import type { Commit, CommitResult, TablePort } from 'anvilarch-protocol'

/** Bounds of `commitWithRetry`. */
export interface CommitRetryOptions {
  /** Times that the commit is sent. */
  tries: number
  /** Wait before the second try; doubles after that. */
  backoffMs: number
}

/** Short, since a caller waits for the answer. */
export const DEFAULT_OPTIONS: CommitRetryOptions = { tries: 4, backoffMs: 100 }

/** When a client whose commit could not be settled should ask again. */
const RETRY_AFTER_MS = 5_000
const BACKOFF_JITTER = 0.3

/** What `commitWithRetry` works with. */
export interface CommitRetryContext {
  table: TablePort
  clock: Clock
  random: Random
  signal?: AbortSignal
}

/**
 * The reply of the table may be lost after the write took effect: the caller would see an error and its job would run all
 * the same. The table gives a repeated commit id its first outcome, so sending it again settles the matter.
 *
 * @param context - table, time and random numbers
 * @param commit - is sent unchanged each time
 * @param step - the step to name in an error
 * @param options - bounds
 * @returns the outcome
 * @throws AnvilarchError with `ran` `unknown` when it can't be settled, or `not_run` when no try reached the table
 */
export async function commitWithRetry (
  context: CommitRetryContext, commit: Commit, step: string, options: CommitRetryOptions = DEFAULT_OPTIONS
): Promise<CommitResult> {
  let reached = false
  let backoffMs = options.backoffMs
  let last: AnvilarchError | undefined
  for (let attempt = 1; attempt <= options.tries; attempt++) {
    try {
      return await context.table.commit(commit, context.signal)
    } catch (error) {
      last = toAnvilarchError(error, { code: 'platform_unavailable', step, ran: 'unknown' })
      reached ||= last.ran !== 'not_run'
    }
    // A table that refuses the first try has not got the commit: the answer is certain, and nobody is kept waiting.
    if (!reached || context.signal?.aborted === true) break
    if (attempt < options.tries) await sleep(context.clock, context.random.jitter(backoffMs, BACKOFF_JITTER), context.signal)
    backoffMs *= 2
  }
  throw unsettled(last, step, reached)
}

function unsettled (last: AnvilarchError | undefined, step: string, reached: boolean): AnvilarchError {
  const retryAfterMs = last?.retryAfterMs ?? RETRY_AFTER_MS
  if (!reached) {
    return new AnvilarchError('The table service is not available; nothing was changed. Send the request again later.', {
      code: 'platform_unavailable', step, peer: last?.peer, ran: 'not_run', retryAfterMs, cause: last
    })
  }
  return new AnvilarchError(
    'The table service did not say whether the change took effect. Send the same request again with the same Idempotency-Key to learn what became of it.',
    { code: 'outcome_unknown', step, peer: last?.peer, ran: 'unknown', retryAfterMs, cause: last }
  )
}
