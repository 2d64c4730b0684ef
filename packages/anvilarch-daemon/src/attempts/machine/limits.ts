/** Bounds on the life of one request. */

/** Goes elsewhere after a proved refusal that take nothing from the retry budget. */
export const MAX_FREE_RETRIES = 3

/** Starts of one request; the budget bounds all requests together, and one of them must not use it up alone. */
export const MAX_ATTEMPTS = 6

/** Resumptions without anything new or a sign of life before an idempotent request goes elsewhere. */
export const MAX_RESUMES_IDEMPOTENT = 1

/** The same for a call that may not be repeated: nothing but its agent can tell what became of it. */
export const MAX_RESUMES_NON_IDEMPOTENT = 3

/** Wait before a resumption that follows a resumption whose connection broke at once. */
export const RESUME_DELAY_MS = 250

/** Crashes that a request may be in progress at before it is run with nothing beside it. */
export const CRASHES_BESIDE_OTHERS = 2

/** Crashes that a request may be in progress at before it is given up. */
export const MAX_CRASHES = 4

/** The longest time for which a request that had begun waits for an endpoint, and the share of its remaining time. */
export const MAX_TARGET_WAIT_MS = 5_000
export const TARGET_WAIT_SHARE = 0.5

/**
 * An agent that forgot an attempt answers like one that never saw it. It forgets an attempt only after its retention,
 * so `barred` proves that an attempt did not run only this soon after its start.
 */
export const BAR_PROOF_WINDOW_MS = 15_000

/** When to come back, where nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 1_000
