/** State, events and commands of the state machine of one request. The machine is pure: its driver owns sockets and timers. */
import type { AttemptOutcome, RefusalReason } from 'anvilarch-protocol'
import type { ErrorCode, RunStatus } from 'anvilarch-utils'
import type { Target } from '../../routing/types'
import type { Headers } from '../types'

/** Constant properties of a request. */
export interface RequestFacts {
  requestId: string
  fingerprint: string
  idempotent: boolean
}

/** One attempt at one endpoint. */
export interface AttemptState {
  attemptId: string
  target: Target
  /** No other attempt runs at the endpoint at the same time. */
  isolated: boolean
  /** No other prompt is computed beside it until its first token. */
  soloFirstToken: boolean
  sentMs: number
  /** Number of the current stream; late events of closed streams are discarded. */
  stream: number
  /** Whether the current stream resumes the attempt; otherwise it started the attempt. */
  resuming: boolean
  accepted: boolean
  headSeen: boolean
  receivedBytes: number
  /** Resumptions since the last frame with new output or proof that the attempt still runs. */
  resumes: number
}

/** Why an attempt failed. */
export interface Failure {
  /** Short, stable name, used as a metric label. */
  reason: string
  code: ErrorCode
  message: string
  step: string
  peer: string
  retryAfterMs?: number
}

/** State of a request. */
export interface RequestState {
  facts: RequestFacts
  phase: 'choosing' | 'attempting' | 'ended'
  attempt: AttemptState | undefined
  /** Starts sent so far. */
  attempts: number
  /** Number of the last opened stream. */
  streams: number
  /** Keys of endpoints that were tried. */
  tried: readonly string[]
  /** Keys of tried endpoints that are not tried again, even when no other is left. */
  excluded: readonly string[]
  /** Whether an agent accepted one of its attempts, even if only into its queue. */
  wasAccepted: boolean
  /** Whether any attempt before the current one ran. */
  ran: RunStatus
  /** Retries that took nothing from the retry budget. */
  unbudgetedRetries: number
  crashes: number
  /** The next attempt runs isolated. */
  isolatedNext: boolean
  /** No other prompt is computed beside the next attempt until its first token. */
  soloFirstTokenNext: boolean
  failure: Failure | undefined
  /** Until when an accepted request waits for an endpoint; undefined while it does not wait. */
  waitUntilMs: number | undefined
}

/** Conditions at the time of an event. */
export interface StepInput {
  nowMs: number
  deadlineMs: number
  /** Whether the retry budget allows another retry. */
  retryAllowed: boolean
  /** Whether another endpoint can continue the response that the caller has received so far. */
  continuable: boolean
  /** What is missing from a response that its endpoint has ended; undefined when it is complete. */
  missing: string | undefined
  quarantined: boolean
}

/** Event of a request. Events of a stream carry its number. */
export type RequestEvent =
  | { kind: 'begin', suspect: boolean }
  | { kind: 'chosen', target: Target, attemptId: string }
  | { kind: 'no_target' }
  | { kind: 'targets_changed' }
  | { kind: 'wait_over' }
  | { kind: 'accepted', stream: number, incarnation: string }
  | { kind: 'refused', stream: number, reason: RefusalReason, incarnation: string, retryAfterMs: number }
  | { kind: 'head', stream: number, status: number, headers: Headers }
  | { kind: 'output', stream: number, offsetBytes: number, data: Uint8Array }
  | { kind: 'heartbeat', stream: number }
  | { kind: 'final', stream: number, final: FinalReport }
  | { kind: 'inactivity_timeout', stream: number }
  | { kind: 'stream_ended', stream: number, neverSent: boolean, message: string }
  | { kind: 'output_invalid', stream: number, message: string }
  | { kind: 'deadline' }
  | { kind: 'caller_gone' }

/** Content of the final frame of an attempt. */
export interface FinalReport {
  outcome: AttemptOutcome
  totalBytes: number
  ran: RunStatus
  detail: string
  retryAfterMs: number
  outputTokens: number
  wasAlone: boolean
  /** Another attempt is the likelier cause of the crash. */
  causeKnown?: boolean
}

/** How a request ended. The driver adds status, headers and body. */
export type RequestEnd =
  | { outcome: 'completed', outputTokens: number }
  | { outcome: 'failed', ran: RunStatus, failure: Failure }

/** Command to the driver. */
export type RequestCommand =
  | { kind: 'choose', exclude: readonly string[] }
  | { kind: 'wait_for_target', untilMs: number }
  | { kind: 'start', attempt: AttemptState }
  | { kind: 'resume', attempt: AttemptState, newConnection: boolean, delayMs: number }
  | { kind: 'close_stream', target: Target }
  | { kind: 'cancel', attempt: AttemptState, reason: string }
  | { kind: 'head', status: number, headers: Headers }
  | { kind: 'output', data: Uint8Array }
  | { kind: 'take_retry', reason: string }
  | { kind: 'note', target: Target, note: TargetNote }
  | { kind: 'note_incarnation', target: Target, incarnation: string }
  | { kind: 'suspect' }
  | { kind: 'cleared' }
  | { kind: 'quarantine' }
  | { kind: 'end', end: RequestEnd }

/** State of an agent or endpoint, as shown by an attempt. */
export type TargetNote = 'draining' | 'unreachable' | 'endpoint_down'

/** Result of a step. */
export interface Step {
  state: RequestState
  commands: RequestCommand[]
}
