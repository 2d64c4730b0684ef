/** Records of a soak run: responses to callers, injected faults and operator actions, and metrics of the daemons. */
import type { Execution } from 'anvilarch-standins'
import type { RunStatus } from 'anvilarch-utils'

/** Kinds of calls in the load. */
export type CallKind = 'stream' | 'chat' | 'lookup' | 'order' | 'keyed_order' | 'crashing'

/**
 * Outcome of a call as the caller saw it. `whole`: a complete response. `refused` and `failed`: a typed error. `broken`: the
 * connection ended or timed out before either. `gone`: the caller itself disconnected.
 */
export type CallOutcome = 'whole' | 'refused' | 'failed' | 'broken' | 'gone'

/** Fault in the content of a response: it ended as complete but lacks something, or its content is not that of the expected response. */
export type ResponseFault = 'incomplete' | 'crossed'

/** One call and its outcome. Times are wall-clock times, because they are compared with the ledgers of other processes. */
export interface CallRecord {
  requestId: string
  kind: CallKind
  gateway: string
  /** Calls that share a key, or that resend one body, are executed at most once in total. */
  key: string | undefined
  idempotent: boolean
  sentAtMs: number
  endedAtMs: number
  told: CallOutcome
  status: number
  code: string
  ran: RunStatus | ''
  retryAfterMs: number | undefined
  fault: ResponseFault | undefined
  detail: string
}

/** One item of a submitted job. */
export interface ItemSpec {
  customId: string
  body: object
  /** Text of the expected response; undefined for an item that always fails. */
  expected: string | undefined
}

/** One response to a request that creates or cancels a job. */
export interface JobResponse {
  gateway: string
  sentAtMs: number
  endedAtMs: number
  told: CallOutcome
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

/** Number of finished items that a cancelled job reported at one time. */
export interface ItemCountReading {
  atMs: number
  items: number
}

/** One job with all responses that its client received. */
export interface SubmissionRecord {
  name: string
  items: ItemSpec[]
  /** Responses to the requests that create the job, all with the same content. */
  answers: JobResponse[]
  /** Responses to requests with the same key and another body. */
  otherBodyAnswers: JobResponse[]
  /** When the cancellation was acknowledged. */
  cancelledAtMs: number | undefined
  shownAfterCancel: ItemCountReading[]
  endState: string | undefined
  lines: ResultLine[]
  /** Why the results could not be read; empty if they were read. */
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

/** The configuration version in the metrics of one daemon. */
export interface VersionReading {
  daemon: string
  processId: number
  atMs: number
  version: number
}

/** Number of violations of one invariant in one process. */
export interface ViolationReading {
  daemon: string
  processId: number
  name: string
  count: number
}

/** Number of process pauses that a daemon detected while waiting for a peer, between two readings. */
export interface PauseReading {
  daemon: string
  processId: number
  atMs: number
  count: number
}

/** One injected fault. */
export interface FaultRecord {
  fault: string
  target: string
  injectedAtMs: number
  /** Infinity while the fault is active. */
  healedAtMs: number
}

/** A period in which an agent must get no new work, since it is draining or its host is listed as leaving. */
export interface DrainRecord {
  agent: string
  endpoints: string[]
  /** Whether the agent received a signal, or only the host list shows its host as leaving. */
  by: 'signal' | 'host_list'
  /** When the system can first detect it. */
  sinceMs: number
  /** When the agent had exited, or its host was listed as live again. */
  untilMs: number
}

/** A planned stop of a daemon, with its exit. */
export interface StopRecord {
  daemon: string
  toldAtMs: number
  endedAtMs: number
  /** Null if it did not exit by itself in time. */
  exitCode: number | null
}

/** A daemon that exited without a planned stop or an injected fault. */
export interface UnplannedExit {
  daemon: string
  atMs: number
  exit: string
}

/** An order that an endpoint accepted. */
export interface OrderRecord {
  endpoint: string
  /** Process of the endpoint. */
  processId: number
  atMs: number
  action: string
  fencingToken: number
}

/** A process of a model endpoint, with the time span in which it responded. */
export interface EngineProcess {
  endpoint: string
  processId: number
  firstSeenMs: number
  lastSeenMs: number
}

/** Input of the checks. */
export interface Evidence {
  calls: CallRecord[]
  submissions: SubmissionRecord[]
  applies: ApplyRecord[]
  versions: VersionReading[]
  violations: ViolationReading[]
  pauses: PauseReading[]
  faults: FaultRecord[]
  leaves: DrainRecord[]
  stops: StopRecord[]
  unplannedExits: UnplannedExit[]
  orders: OrderRecord[]
  engineProcesses: EngineProcess[]
  executions: Execution[]
}

/** @returns evidence without any records */
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
