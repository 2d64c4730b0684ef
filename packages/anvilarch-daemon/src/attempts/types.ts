/** Interface of the attempts slice, which runs a request to its end despite failures of agents, endpoints and connections. */
import type { AnvilarchError } from 'anvilarch-utils'
import type { WorkClass } from 'anvilarch-protocol'

/** Headers by lower-case name. */
export type Headers = Record<string, string>

/** A request as sent to an endpoint. */
export interface EndpointCall {
  method: string
  path: string
  headers: Headers
  body: Uint8Array
}

/** Form of the response: streamed events, one JSON body, or the unchanged response of the endpoint. */
export type OutputMode = 'stream' | 'whole' | 'raw'

/** A request to run to its end. */
export interface WorkRequest {
  requestId: string
  caller: string
  workClass: WorkClass
  service: string
  call: EndpointCall
  outputMode: OutputMode
  idempotent: boolean
  /** Monotonic time of the gateway's clock. */
  deadlineMs: number
  /** Hash of service and body. */
  fingerprint: string
  /** Prompt prefix hash for cache affinity; empty when there is none. */
  affinityKey: string
  /** Keys of endpoints that are used only when no other is allowed. */
  avoid?: ReadonlySet<string>
}

/** Receives the response as it arrives. Only for the output modes `stream` and `raw`. */
export interface WorkSink {
  onHead: (status: number, headers: Headers) => void
  /** Resolves when more output is accepted, so that a slow caller slows only its own stream. */
  onOutput: (data: Uint8Array) => Promise<void> | void
}

/**
 * How a request ended. The error of `failed` states whether the request ran; `acceptedBy` lists the keys of endpoints whose
 * agents accepted it, the last one last.
 */
export type WorkResult =
  | { outcome: 'completed', status: number, headers: Headers, body: Uint8Array, attempts: number, outputTokens: number, acceptedBy: readonly string[] }
  | { outcome: 'failed', error: AnvilarchError, attempts: number, acceptedBy: readonly string[] }

/** Runs requests through agents: routing, attempts, retries, resumption. */
export interface RequestRunner {
  /**
   * @param request - the request to run
   * @param options - a sink that receives the response as it arrives, and a signal that aborts when the caller disconnects
   * @returns how it ended; never rejects
   */
  run: (request: WorkRequest, options?: { sink?: WorkSink, signal?: AbortSignal }) => Promise<WorkResult>
  /** Requests in progress, by class. */
  inProgress: () => Record<WorkClass, number>
  /** Number of further batch requests that the fleet would start now for a service, according to the reported loads. */
  freeBatch: (service: string) => number
}
