/** Reasons for which an agent refuses an attempt. The agent bars the id of a refused attempt and never runs it. */

/** Refusal reasons, which are also metric labels. */
export const REFUSAL_REASONS = [
  'draining', 'overloaded', 'deadline', 'barred', 'wrong_incarnation', 'stale_configuration',
  'unknown_endpoint', 'endpoint_down', 'model_not_loaded', 'quarantined', 'isolated_busy', 'suspect', 'too_large'
] as const

/** Reason of a refusal. */
export type RefusalReason = typeof REFUSAL_REASONS[number]
