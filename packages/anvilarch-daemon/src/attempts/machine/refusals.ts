/** Defines the consequences of each refusal for the request and for the gateway's view of the agent. */
import type { RefusalReason } from 'anvilarch-protocol'
import type { ErrorCode } from 'anvilarch-utils'
import type { TargetNote } from './types'

/** Consequences of a refusal. */
export interface RefusalRule {
  /** Reported to the caller when no other endpoint is tried. */
  code: ErrorCode
  /** Every endpoint would refuse the request. */
  final?: boolean
  /** The same endpoint may be tried again: at once, or when no other is left. */
  mayReturn?: 'at_once' | 'when_none_left'
  /** No other prompt is computed beside the next attempt until its first token. */
  soloFirstToken?: boolean
  note?: TargetNote
}

/** Rules by refusal reason. */
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
  suspect: { code: 'unavailable', mayReturn: 'at_once', soloFirstToken: true },
  too_large: { code: 'too_large', final: true }
}
