/** Outcomes of accepted attempts. */

/**
 * - `completed`: the complete response of the endpoint was read.
 * - `cancelled`: the gateway cancelled the attempt.
 * - `endpoint_crashed`: the endpoint crashed while it was running the attempt.
 * - `endpoint_failed`: the endpoint was unreachable or violated its protocol.
 * - `deadline`: the deadline passed.
 * - `preempted`: batch work that was preempted and that this agent will not resume.
 * - `lost`: the outcome is unknown, because the agent was replaced.
 */
export const ATTEMPT_OUTCOMES = ['completed', 'cancelled', 'endpoint_crashed', 'endpoint_failed', 'deadline', 'preempted', 'lost'] as const

/** Outcome of an attempt. */
export type AttemptOutcome = typeof ATTEMPT_OUTCOMES[number]
