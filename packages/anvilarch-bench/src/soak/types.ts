/** What a soak run records: what callers were told, what was done to the system, and what the daemons showed. */
import type { Execution } from 'anvilarch-standins'
import type { RunStatus } from 'anvilarch-utils'

/** Kinds of calls that the load makes. */
export type CallKind = 'stream' | 'chat' | 'lookup' | 'order' | 'keyed_order' | 'crashing'

/**
 * What a caller was told. `whole`: a complete answer. `refused` and `failed`: a typed error. `broken`: the connection
 * ended or timed out before either. `gone`: the caller went away by itself.
 */
export type Told = 'whole' | 'refused' | 'failed' | 'broken' | 'gone'

/** What is wrong with an answer: it was told as whole and came short, or its pieces are not those of the right answer. */
export type AnswerFault = 'incomplete' | 'crossed'

/** One call and its end. Times are wall times, since the ledgers of other processes are held against them. */
export interface CallRecord {
  requestId: string
  kind: CallKind
  /** Name of the gateway that was called. */
  gateway: string
  /** Calls of one key, or of one body that a caller sends again, run at most once together. */
  key: string | undefined
  idempotent: boolean
  sentAtMs: number
  endedAtMs: number
  told: Told
  status: number
  code: string
  ran: RunStatus | ''
  retryAfterMs: number | undefined
  fault: AnswerFault | undefined
  detail: string
}

/** One item of a submitted job. */
export interface ItemSpec {
  customId: string
  body: object
  /** Text of the right answer; undefined for an item that can't be done. */
  expected: string | undefined
}

/** One answer to a request that makes or cancels a job. */
export interface JobAnswer {
  gateway: string
  sentAtMs: number
  endedAtMs: number
  told: Told
  status: number
  code: string
  ran: RunStatus | ''
  retryAfterMs: number | undefined
  jobId: string | undefined
}

/** A line of a job's results. */
export interface ResultLine {
  customId: string
  kind: 'output' | 'error'
  text: string | undefined
  code: string | undefined
}

/** Finished items of a cancelled job as shown at one time. */
export interface ShownCount {
  atMs: number
  items: number
}

/** One job with everything that its client was told. */
export interface SubmissionRecord {
  name: string
  items: ItemSpec[]
  /** Requests to make the job, all with the same content. */
  answers: JobAnswer[]
  /** Requests with the same key and another body. */
  otherBodyAnswers: JobAnswer[]
  /** When the cancellation was acknowledged. */
  cancelledAtMs: number | undefined
  shownAfterCancel: ShownCount[]
  endState: string | undefined
  lines: ResultLine[]
  /** Why the results could not be read; empty when they were. */
  readError: string
}

/** One document that an operator applied. */
export interface ApplyRecord {
  gateway: string
  operator: string
  sentAtMs: number
  endedAtMs: number
  status: number
  version: number | undefined
  hash: string | undefined
}

/** The configuration version that one daemon showed. */
export interface VersionReading {
  daemon: string
  processId: number
  atMs: number
  version: number
}

/** Invariant violations that one process counted. */
export interface ViolationReading {
  daemon: string
  processId: number
  name: string
  count: number
}

/** Times that a daemon's process stood still while it listened to a peer, between two readings. */
export interface PauseReading {
  daemon: string
  processId: number
  atMs: number
  count: number
}

/** One fault that was injected. */
export interface FaultRecord {
  fault: string
  target: string
  injectedAtMs: number
  /** Infinity while it holds. */
  healedAtMs: number
}

/** An agent that leaves. */
export interface LeaveRecord {
  agent: string
  endpoints: string[]
  /** Whether the agent itself was told, or only the list of hosts shows it. */
  by: 'signal' | 'host_list'
  /** From when on the system can know. */
  sinceMs: number
  /** When the agent was gone, or back. */
  untilMs: number
}

/** A daemon that was told to stop, with the way it ended. */
export interface StopRecord {
  daemon: string
  toldAtMs: number
  endedAtMs: number
  /** Null when it did not end by itself. */
  exitCode: number | null
}

/** A daemon that ended without being told to. */
export interface UnplannedExit {
  daemon: string
  atMs: number
  exit: string
}

/** An order that an endpoint has taken. */
export interface OrderRecord {
  endpoint: string
  /** Process of the endpoint. */
  processId: number
  atMs: number
  action: string
  fencingToken: number
}

/** A process of a model endpoint, and when it was seen. */
export interface EngineProcess {
  endpoint: string
  processId: number
  firstSeenMs: number
  lastSeenMs: number
}

/** Everything that the checker reads. */
export interface Evidence {
  calls: CallRecord[]
  submissions: SubmissionRecord[]
  applies: ApplyRecord[]
  versions: VersionReading[]
  violations: ViolationReading[]
  pauses: PauseReading[]
  faults: FaultRecord[]
  leaves: LeaveRecord[]
  stops: StopRecord[]
  unplannedExits: UnplannedExit[]
  orders: OrderRecord[]
  engineProcesses: EngineProcess[]
  executions: Execution[]
}

/** @returns evidence of a run in which nothing happened */
export function emptyEvidence (): Evidence {
  return {
    calls: [],
    submissions: [],
    applies: [],
    versions: [],
    violations: [],
    pauses: [],
    faults: [],
    leaves: [],
    stops: [],
    unplannedExits: [],
    orders: [],
    engineProcesses: [],
    executions: []
  }
}
