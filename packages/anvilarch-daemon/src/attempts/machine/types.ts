/** State, events and commands of the life of one request. The machine is pure: sockets and timers belong to its driver. */
import type { AttemptOutcome, RefusalReason } from 'anvilarch-protocol'
import type { ErrorCode, RunStatus } from 'anvilarch-utils'
import type { Target } from '../../routing/types'
import type { Headers } from '../types'

/** What does not change during the life of a request. */
export interface RequestFacts {
  requestId: string
  fingerprint: string
  idempotent: boolean
}

/** One attempt at one endpoint. */
export interface AttemptState {
  attemptId: string
  target: Target
  /** Runs with nothing beside it. */
  isolated: boolean
  /** No other prompt is computed beside it until its first token. */
  soloFirstToken: boolean
  sentMs: number
  /** Number of the stream whose events count; events of streams that were left are late and dropped. */
  stream: number
  /** Whether that stream resumes the attempt, or started it. */
  resuming: boolean
  accepted: boolean
  headSeen: boolean
  receivedBytes: number
  /** Resumptions since the last frame that brought something new, or that showed that the attempt still runs. */
  resumes: number
}

/** Why the last attempt did not end the request. */
export interface Failure {
  /** Short stable name, used as a metric label. */
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
  /** Number given to the last opened stream. */
  streams: number
  /** Keys of endpoints that were asked. */
  tried: readonly string[]
  /** Those among them that are not asked again, even when no other is left. */
  barred: readonly string[]
  /** Whether an agent had taken one of its attempts, be it only to its queue. */
  taken: boolean
  /** What is proved of all attempts before the present one. */
  ran: RunStatus
  /** Goes elsewhere that took nothing from the retry budget. */
  freeRetries: number
  crashes: number
  /** The next attempt runs with nothing beside it. */
  isolateNext: boolean
  /** The next attempt runs so that no other prompt is computed until its first token. */
  soloNext: boolean
  failure: Failure | undefined
  /** Until when a request that had begun waits for an endpoint; undefined while it does not wait. */
  waitUntilMs: number | undefined
}

/** Facts that hold at the moment of an event. */
export interface StepInput {
  nowMs: number
  deadlineMs: number
  /** Whether the retry budget has something left. */
  retryAllowed: boolean
  /** Whether what the caller has got can be continued by another endpoint. */
  continuable: boolean
  /** What the answer lacks to be whole where its endpoint has ended it; undefined when it is whole. */
  missing: string | undefined
  quarantined: boolean
}

/** Something that happened. Events of a stream carry its number. */
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
  | { kind: 'silence', stream: number }
  | { kind: 'stream_ended', stream: number, neverSent: boolean, message: string }
  | { kind: 'output_invalid', stream: number, message: string }
  | { kind: 'deadline' }
  | { kind: 'caller_gone' }

/** What the final frame of an attempt says. */
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

/** How a request ended, as far as the machine knows. The driver adds status, headers and body. */
export type RequestEnd =
  | { outcome: 'completed', outputTokens: number }
  | { outcome: 'failed', ran: RunStatus, failure: Failure }

/** Something for the driver to do. */
export type RequestCommand =
  | { kind: 'choose', exclude: readonly string[] }
  | { kind: 'wait_for_target', untilMs: number }
  | { kind: 'start', attempt: AttemptState }
  | { kind: 'resume', attempt: AttemptState, newConnection: boolean, delayMs: number }
  | { kind: 'leave', target: Target }
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

/** What an attempt showed about the agent or endpoint. */
export type TargetNote = 'draining' | 'unreachable' | 'endpoint_down'

/** What a step gives. */
export interface Step {
  state: RequestState
  commands: RequestCommand[]
}
