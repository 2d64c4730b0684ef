/**
 * Admission to one endpoint: state and event in, next state and commands out. Times are on the monotonic scale of the
 * agent's clock and come with the events.
 */
import type { BatchPolicy } from 'anvilarch-configuration'
import type { RefusalReason, WorkClass } from 'anvilarch-protocol'
import type { BatchLimit } from './batchLimit'
import type { Measures } from './measures'

/** Something happened at the endpoint. */
export type AdmissionEvent =
  | { kind: 'arrive', nowMs: number, id: string, workClass: WorkClass, deadlineMs: number, isolated: boolean, soloFirstToken?: boolean }
  | { kind: 'firstToken', nowMs: number, id: string, sinceStartMs: number }
  /** The first token since a start or a resumption came: the engine is done with the prompt. */
  | { kind: 'decoding', nowMs: number, id: string }
  | { kind: 'interToken', nowMs: number, id: string, gapMs: number }
  /** A preempted attempt is off the engine. */
  | { kind: 'released', nowMs: number, id: string }
  /** A running attempt ended; `whole` when its answer was complete, so that its time counts as a service time. */
  | { kind: 'finished', nowMs: number, id: string, whole: boolean }
  /** A waiting attempt was withdrawn. */
  | { kind: 'cancelled', nowMs: number, id: string }
  | { kind: 'tick', nowMs: number }
  | { kind: 'drain', nowMs: number }
  /** Running batch work is to be handed back, so that a drain is short. */
  | { kind: 'handBack', nowMs: number }
  | { kind: 'endpointDown', nowMs: number }
  | { kind: 'endpointUp', nowMs: number }
  | { kind: 'policy', nowMs: number, policy: BatchPolicy }

/** Why an attempt that was taken in is given up before it ran to its end. */
export type GiveUpReason = 'deadline' | 'draining' | 'endpoint_down' | 'isolated_busy'

/** What the agent must do. */
export type AdmissionCommand =
  | { kind: 'start', id: string }
  | { kind: 'resume', id: string }
  | { kind: 'preempt', id: string }
  /** Answers the arrival of this id: it never runs here. */
  | { kind: 'refuse', id: string, reason: RefusalReason, retryAfterMs: number }
  /** Ends an attempt that waits; `started` says whether it ran before it was preempted. */
  | { kind: 'giveUp', id: string, reason: GiveUpReason, started: boolean, retryAfterMs: number }

/** An attempt that holds a slot. */
export interface RunningAttempt {
  id: string
  workClass: WorkClass
  startedMs: number
  deadlineMs: number
  /** `preempting`: cut off, but the engine may not have freed its slot yet. */
  phase: 'running' | 'preempting'
  preemptions: number
  isProtected: boolean
  /** The engine still computes its prompt. */
  isPrefilling: boolean
  isolated: boolean
  /** Nothing else is computed until its first token. */
  soloFirstToken: boolean
  /** Nothing ran beside it so far. */
  alone: boolean
}

/** An attempt that waits for a slot. */
export interface WaitingAttempt {
  id: string
  workClass: WorkClass
  deadlineMs: number
  preemptions: number
  /** It ran before and was preempted. */
  started: boolean
  /** Its first token must come while no other prompt is computed. */
  soloFirstToken: boolean
}

/** An attempt that must run with nothing beside it. */
export interface WaitingIsolated {
  attempt: WaitingAttempt
  /** It is given up then, since nothing else starts while it waits. */
  untilMs: number
}

/** Tunables of admission. */
export interface AdmissionOptions {
  /** Requests that the endpoint may run at the same time. */
  slots: number
  maxQueuedOnline: number
  maxQueuedBatch: number
  maxQueuedIsolated: number
  /** Whether batch work can be cut off and continued. */
  preemptible: boolean
  /** Preemptions after which an item is protected until it is done. */
  maxPreemptions: number
  /** Items protected at the same time, as a share of the slots; at least one. */
  protectedSharePercent: number
  /** Longest wait of an isolated attempt for the endpoint to be free, since nothing starts meanwhile. */
  maxIsolationWaitMs: number
  /** Shortest time named in a refusal. */
  minRetryAfterMs: number
  /** Batch items whose prompts the engine computes at the same time. */
  maxPrefillingBatch: number
  /** The same while online work runs. */
  maxPrefillingBesideOnline: number
  /** After this long without online work the batch limit is all slots. */
  idleHoldMs: number
  /** Time between two corrections of the batch limit while online work runs. */
  adjustIntervalMs: number
}

/** Defaults, but for `slots` and `maxQueuedOnline`, which come from the settings. */
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
  idleHoldMs: 50,
  adjustIntervalMs: 500
}

/** State of one endpoint's admission. */
export interface AdmissionState {
  options: AdmissionOptions
  policy: BatchPolicy
  running: Map<string, RunningAttempt>
  /** Lookups before online work, each in the order of arrival. */
  online: WaitingAttempt[]
  /** Preempted items first. */
  batch: WaitingAttempt[]
  /** They wait for the endpoint to be free of everything else, and run one after another. */
  isolated: WaitingIsolated[]
  /** They wait until no prompt is being computed, and are computed one after another; see `startWhatFits`. */
  solo: WaitingAttempt[]
  /** Whether the next prompt to be computed is one of those in `solo`. */
  soloTurn: boolean
  draining: boolean
  handingBack: boolean
  down: boolean
  measures: Measures
  batchLimit: BatchLimit
}

/** Next state and what to do. */
export interface AdmissionStep {
  state: AdmissionState
  commands: AdmissionCommand[]
}

/** Load as gateways are told. */
export interface AdmissionLoad {
  runningOnline: number
  runningBatch: number
  queued: number
  freeOnline: number
  freeBatch: number
  firstTokenMs: number
  interTokenMs: number
}
