/**
 * Types of the admission state machine of one endpoint: state and event in, next state and commands out. Times are on the
 * agent's monotonic clock and are passed with the events.
 */
import type { BatchPolicy } from 'anvilarch-configuration'
import type { RefusalReason, WorkClass } from 'anvilarch-protocol'
import type { BatchLimit } from './batchLimit'
import type { Measures } from './measures'

/** An event at the endpoint. */
export type AdmissionEvent =
  | { kind: 'arrive', nowMs: number, id: string, workClass: WorkClass, deadlineMs: number, isolated: boolean, soloFirstToken?: boolean }
  | { kind: 'firstToken', nowMs: number, id: string, sinceStartMs: number }
  /** The first token since a start or a resumption arrived: the prefill is complete. */
  | { kind: 'decoding', nowMs: number, id: string }
  | { kind: 'interToken', nowMs: number, id: string, gapMs: number }
  /** The engine has freed the slot of a preempted attempt. */
  | { kind: 'released', nowMs: number, id: string }
  /** A running attempt ended; `whole` if its response was complete, so that its duration counts as a service time. */
  | { kind: 'finished', nowMs: number, id: string, isComplete: boolean }
  /** A waiting attempt was cancelled. */
  | { kind: 'cancelled', nowMs: number, id: string }
  | { kind: 'tick', nowMs: number }
  | { kind: 'drain', nowMs: number }
  /** Running batch work is preempted and returned, to shorten a drain. */
  | { kind: 'returnBatch', nowMs: number }
  | { kind: 'endpointDown', nowMs: number }
  | { kind: 'endpointUp', nowMs: number }
  | { kind: 'policy', nowMs: number, policy: BatchPolicy }

/** Why an admitted attempt is given up before it completes. */
export type GiveUpReason = 'deadline' | 'draining' | 'endpoint_down' | 'isolated_busy'

/** A command for the agent to execute. */
export type AdmissionCommand =
  | { kind: 'start', id: string }
  | { kind: 'resume', id: string }
  | { kind: 'preempt', id: string }
  /** Rejects the arriving attempt; it never runs here. */
  | { kind: 'refuse', id: string, reason: RefusalReason, retryAfterMs: number }
  /** Ends a waiting attempt; `started` if it had run and was preempted. */
  | { kind: 'giveUp', id: string, reason: GiveUpReason, started: boolean, retryAfterMs: number }

/** An attempt that occupies a slot. */
export interface RunningAttempt {
  id: string
  workClass: WorkClass
  startedMs: number
  deadlineMs: number
  /** `preempting`: preempted, but the engine may not have freed its slot yet. */
  phase: 'running' | 'preempting'
  preemptions: number
  isProtected: boolean
  /** The engine is still processing its prompt. */
  isPrefilling: boolean
  isolated: boolean
  /** No other prompt is prefilled until its first token. */
  soloFirstToken: boolean
  /** No other attempt has run at the same time so far. */
  alone: boolean
}

/** An attempt waiting for a slot. */
export interface WaitingAttempt {
  id: string
  workClass: WorkClass
  deadlineMs: number
  preemptions: number
  /** It has run before and was preempted. */
  started: boolean
  /** Its prompt must be prefilled while no other prompt is. */
  soloFirstToken: boolean
}

/** A waiting attempt that must run with no other attempt on the endpoint. */
export interface WaitingIsolated {
  attempt: WaitingAttempt
  /** Time at which it is given up, since nothing else starts while it waits. */
  untilMs: number
}

/** Tuning options of admission. */
export interface AdmissionOptions {
  /** Number of requests the endpoint can run concurrently. */
  slots: number
  maxQueuedOnline: number
  maxQueuedBatch: number
  maxQueuedIsolated: number
  /** Whether batch work can be preempted and resumed. */
  preemptible: boolean
  /** Preemptions after which an item is protected until it completes. */
  maxPreemptions: number
  /** Maximum of concurrently protected items, as a percentage of the slots; at least one item. */
  protectedSharePercent: number
  /** Maximum time an isolated attempt waits for the endpoint to be idle, since nothing else starts meanwhile. */
  maxIsolationWaitMs: number
  /** Minimum retry time in a rejection. */
  minRetryAfterMs: number
  /** Maximum of batch items in prefill at the same time. */
  maxPrefillingBatch: number
  /** The same limit while online work runs. */
  maxPrefillingBesideOnline: number
  /** Time without online work after which the batch limit is all slots. */
  onlineIdleMs: number
  /** Minimum interval between two adjustments of the batch limit while online work runs. */
  adjustIntervalMs: number
}

/** Defaults. `slots` and `maxQueuedOnline` are overridden by the settings. */
export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = {
  slots: 1,
  maxQueuedOnline: 64,
  maxQueuedBatch: 16,
  maxQueuedIsolated: 32,
  preemptible: true,
  maxPreemptions: 8,
  protectedSharePercent: 10,
  maxIsolationWaitMs: 15_000,
  minRetryAfterMs: 100,
  maxPrefillingBatch: 4,
  maxPrefillingBesideOnline: 1,
  onlineIdleMs: 50,
  adjustIntervalMs: 500
}

/** Admission state of one endpoint. */
export interface AdmissionState {
  options: AdmissionOptions
  policy: BatchPolicy
  running: Map<string, RunningAttempt>
  /** Lookups before other online work, each in order of arrival. */
  online: WaitingAttempt[]
  /** Preempted items first. */
  batch: WaitingAttempt[]
  /** Attempts that wait for the endpoint to be idle, and run one at a time. */
  isolated: WaitingIsolated[]
  /** Attempts that wait until no prompt is in prefill, and are prefilled one at a time; see `startWaitingAttempts`. */
  solo: WaitingAttempt[]
  /** Whether the next prompt to prefill is one of those in `solo`. */
  soloTurn: boolean
  draining: boolean
  isReturningBatch: boolean
  down: boolean
  measures: Measures
  batchLimit: BatchLimit
}

/** Next state and the commands to execute. */
export interface AdmissionStep {
  state: AdmissionState
  commands: AdmissionCommand[]
}

/** Load report for gateways. */
export interface AdmissionLoad {
  runningOnline: number
  runningBatch: number
  queued: number
  freeOnline: number
  freeBatch: number
  firstTokenMs: number
  interTokenMs: number
}
