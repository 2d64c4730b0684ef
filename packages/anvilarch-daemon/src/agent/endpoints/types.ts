/** Interface of endpoint adapters, common to all kinds of endpoints. */
import type { AttemptOutcome, WorkClass } from 'anvilarch-protocol'
import type { Clock, RunStatus } from 'anvilarch-utils'
import type { EndpointCall, Headers, OutputMode } from '../../attempts/types'

/** One attempt to run at an endpoint. */
export interface AttemptCall {
  requestId: string
  attemptId: string
  workClass: WorkClass
  idempotent: boolean
  outputMode: OutputMode
  call: EndpointCall
}

/** How a run ended. */
export interface RunEnd {
  outcome: AttemptOutcome
  ran: RunStatus
  detail: string
  outputTokens: number
}

/** Callbacks for the response of an endpoint. */
export interface RunSink {
  onHead: (status: number, headers: Headers) => void
  /** @returns false if the output exceeds the agent's maximum size; the run must end */
  onOutput: (data: Uint8Array) => boolean
  /** A token was received from the endpoint. */
  onToken: () => void
  /** The run continues over a new connection. */
  onResumed: (reason: 'silence' | 'broken' | 'preempted', offsetTokens: number) => void
}

/** Why the agent stops a run. */
export type StopReason = 'cancelled' | 'deadline'

/** One attempt in progress at an endpoint. */
export interface EndpointRun {
  /** Resolves when the attempt has ended; never rejects. */
  done: Promise<RunEnd>
  /** Ends the attempt. Its slot at the endpoint is free when `done` resolves. */
  stop: (reason: StopReason) => RunEnd
  /** Frees the slot at the endpoint and retains the output. Resolves when the slot is free; to false if the run has ended. */
  preempt: () => Promise<boolean>
  /** Continues after `preempt`. */
  resume: () => void
  /** Opens a new connection if no data was received within the idle timeout. Called on the agent's tick. */
  checkTimeout: (nowMs: number) => void
}

/** Model loaded at an endpoint. */
export interface LoadedModelState {
  model: string
  version: string
  adapters: string[]
  state: 'loading' | 'ready'
}

/** Result of a probe. `silent`: no valid response. */
export type ProbeResult =
  | { state: 'up', incarnation: string, models: LoadedModelState[], fencingToken: number }
  | { state: 'refused' | 'silent', detail: string }

/** Result of an order at an endpoint. */
export type EngineOrderResult = 'done' | 'started' | 'stale_fencing_token' | 'endpoint_failed'

/** An order as sent to the endpoint. */
export interface EngineOrder {
  action: 'load' | 'unload'
  model: string
  version: string
  adapters: string[]
  fencingToken: number
}

/** Protocol client of one endpoint. */
export interface EndpointAdapter {
  /** Whether an attempt can be interrupted and continued later. */
  preemptible: boolean
  start: (call: AttemptCall, sink: RunSink) => EndpointRun
  /** @param fresh - use a new connection, since the open ones may be dead */
  probe: (fresh: boolean) => Promise<ProbeResult>
  order: (order: EngineOrder) => Promise<EngineOrderResult>
  close: () => Promise<void>
}

/** Options of endpoint adapters. */
export interface AdapterOptions {
  url: string
  clock: Clock
  /** Time without data after which a connection is abandoned. */
  idleTimeoutMs: number
  /** Called when the endpoint is unreachable; the agent probes it at once. */
  onUnreachable: () => void
  /** Probes the endpoint. @returns the status of the process that had this incarnation at the start of the run */
  checkProcess: (incarnationAtStart: string) => Promise<ProcessStatus>
  /** @returns the incarnation that the endpoint last reported */
  incarnation: () => string
}

/** `crashed`: the process has exited or was restarted. `alive`: the same process responds. `silent`: it does not respond. */
export type ProcessStatus = 'crashed' | 'alive' | 'silent'
