/** What each refusal means for the request and for the view of the agent. */
import type { RefusalReason } from 'anvilarch-protocol'
import type { ErrorCode } from 'anvilarch-utils'
import type { TargetNote } from './types'

/** Consequences of a refusal. */
export interface RefusalRule {
  /** Told to the caller when no other endpoint is asked. */
  code: ErrorCode
  /** No other endpoint would answer differently. */
  final?: boolean
  /** The same endpoint may be asked again: at once, or when no other is left. */
  mayReturn?: 'at_once' | 'when_none_left'
  /** The next attempt runs so that no other prompt is computed until its first token. */
  solo?: boolean
  note?: TargetNote
}

/** Rules by reason. */
export const REFUSALS: Record<RefusalReason, RefusalRule> = {
  draining: { code: 'unavailable', note: 'draining', mayReturn: 'when_none_left' },
  overloaded: { code: 'overloaded' },
  deadline: { code: 'overloaded' },
  barred: { code: 'unavailable' },
  wrong_incarnation: { code: 'unavailable', mayReturn: 'at_once' },
  stale_configuration: { code: 'unavailable', mayReturn: 'when_none_left' },
  unknown_endpoint: { code: 'unavailable', note: 'endpoint_down', mayReturn: 'when_none_left' },
  endpoint_down: { code: 'unavailable', note: 'endpoint_down', mayReturn: 'when_none_left' },
  model_not_loaded: { code: 'unavailable', mayReturn: 'when_none_left' },
  quarantined: { code: 'quarantined', final: true },
  isolated_busy: { code: 'overloaded', mayReturn: 'when_none_left' },
  suspect: { code: 'unavailable', mayReturn: 'at_once', solo: true },
  too_large: { code: 'too_large', final: true }
}
