/** Limits on the attempts of one request. */

/** Retries at another endpoint that take nothing from the retry budget, since the previous attempt is proved not to have run. */
export const MAX_UNBUDGETED_RETRIES = 3

/** Starts of one request. The retry budget bounds all requests together, and a single request must not exhaust it. */
export const MAX_ATTEMPTS = 6

/** Consecutive resumptions without new output or a heartbeat before an idempotent request is retried at another endpoint. */
export const MAX_RESUMES_IDEMPOTENT = 1

/** The same for a non-idempotent call, whose outcome only its agent can report. */
export const MAX_RESUMES_NON_IDEMPOTENT = 3

/** Delay before a resumption that follows one that failed at once. */
export const RESUME_DELAY_MS = 250

/** Number of crashes at which a request was in progress beside others, after which it runs isolated. */
export const MAX_SHARED_CRASHES = 2

/** Number of crashes at which a request was in progress, after which it is not retried. */
export const MAX_CRASHES = 4

/** Longest wait for an endpoint of a request that an agent had accepted, and the same as a share of its remaining time. */
export const MAX_TARGET_WAIT_MS = 5_000
export const TARGET_WAIT_SHARE = 0.5

/**
 * An agent that has discarded an ended attempt responds like one that never received it. It discards ended attempts only after
 * their retention, so `barred` proves that an attempt did not run only within this time after its start.
 */
export const BAR_PROOF_WINDOW_MS = 15_000

/** Retry-After value where no better estimate is available. */
export const DEFAULT_RETRY_AFTER_MS = 1_000
