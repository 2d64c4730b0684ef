/** What the agent asks of an endpoint, whatever its kind. */
import type { AttemptOutcome, WorkClass } from 'anvilarch-protocol'
import type { Clock, Ran } from 'anvilarch-utils'
import type { EndpointCall, Headers, OutputMode } from '../../attempts/types'

/** One attempt as an endpoint adapter sees it. */
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
  ran: Ran
  detail: string
  outputTokens: number
}

/** Takes what an endpoint answers. */
export interface RunSink {
  onHead: (status: number, headers: Headers) => void
  /** @returns false when the output is larger than the agent keeps; the run must end */
  onOutput: (data: Uint8Array) => boolean
  /** A token came from the endpoint. */
  onToken: () => void
  /** The run goes on over a new connection. */
  onResumed: (reason: 'silence' | 'broken' | 'preempted', offsetTokens: number) => void
}

/** Why a run is stopped from outside. */
export type StopReason = 'cancelled' | 'deadline'

/** One attempt in progress at an endpoint. */
export interface EndpointRun {
  /** Resolves when the attempt ended; never rejects. */
  done: Promise<RunEnd>
  /** Ends the attempt. Its slot at the endpoint is free when `done` resolves. */
  stop: (reason: StopReason) => RunEnd
  /** Frees the endpoint's slot and keeps what came so far. Resolves when the slot is free; false when the run ended instead. */
  preempt: () => Promise<boolean>
  /** Goes on after `preempt`. */
  resume: () => void
  /** Opens a new connection where the endpoint has been silent too long. Called on the agent's tick. */
  checkTimeout: (nowMs: number) => void
}

/** Model loaded at an endpoint. */
export interface LoadedModelState {
  model: string
  version: string
  adapters: string[]
  state: 'loading' | 'ready'
}

/** What an endpoint says about itself. */
export type ProbeResult =
  | { state: 'up', incarnation: string, models: LoadedModelState[], fencingToken: number }
  | { state: 'refused' | 'silent', detail: string }

/** What an endpoint made of an order. */
export type EngineOrderResult = 'done' | 'started' | 'stale_fencing_token' | 'endpoint_failed'

/** An order as the endpoint gets it. */
export interface EngineOrder {
  action: 'load' | 'unload'
  model: string
  version: string
  adapters: string[]
  fencingToken: number
}

/** One endpoint behind its protocol. */
export interface EndpointAdapter {
  /** Whether an attempt can be cut off and continued later. */
  preemptible: boolean
  start: (call: AttemptCall, sink: RunSink) => EndpointRun
  /** @param fresh - over a new connection, when those that are open may have gone silent */
  probe: (fresh: boolean) => Promise<ProbeResult>
  order: (order: EngineOrder) => Promise<EngineOrderResult>
  close: () => Promise<void>
}

/** What an adapter is made of. */
export interface AdapterOptions {
  url: string
  clock: Clock
  /** Silence after which a connection is given up. */
  idleTimeoutMs: number
  /** The endpoint could not be reached, or broke off; the agent probes it at once. */
  onUnreachable: () => void
  /** @returns what a probe made just now says, compared with the time the run began */
  checkProcess: (incarnationAtStart: string) => Promise<ProcessStatus>
  /** @returns the incarnation that the endpoint last reported */
  incarnation: () => string
}

/** `crashed`: what ran there is gone. `alive`: the same process still answers. `silent`: it does not answer. */
export type ProcessStatus = 'crashed' | 'alive' | 'silent'
