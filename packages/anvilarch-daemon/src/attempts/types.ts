/** What the rest of a gateway asks of the attempts slice: run one request to its end, whatever fails on the way. */
import type { AnvilarchError } from 'anvilarch-utils'
import type { WorkClass } from 'anvilarch-protocol'

/** Headers by lower-case name. */
export type Headers = Record<string, string>

/** A request as it goes to an endpoint. */
export interface EndpointCall {
  method: string
  path: string
  headers: Headers
  body: Uint8Array
}

/** How the answer comes back: streamed events, one JSON body, or the endpoint's answer as it is. */
export type OutputMode = 'stream' | 'whole' | 'raw'

/** One request to be run to its end. */
export interface WorkRequest {
  requestId: string
  caller: string
  workClass: WorkClass
  service: string
  call: EndpointCall
  outputMode: OutputMode
  idempotent: boolean
  /** On the monotonic scale of the gateway's clock. */
  deadlineMs: number
  /** Hash of service and body. */
  fingerprint: string
  /** Prompt prefix hash for cache affinity; empty when there is none. */
  affinityKey: string
  /** Keys of endpoints that run it only when no other may. */
  avoid?: ReadonlySet<string>
}

/** Takes the answer as it comes. Only for output mode `stream` and `raw`. */
export interface WorkSink {
  onHead: (status: number, headers: Headers) => void
  /** Resolves when more may be sent, so that a slow caller slows only its own stream. */
  onOutput: (data: Uint8Array) => Promise<void> | void
}

/** How a request ended. `failed` says in its error whether the request ran; `takenBy` has the keys of endpoints whose agents took it, the last one last. */
export type WorkResult =
  | { outcome: 'completed', status: number, headers: Headers, body: Uint8Array, attempts: number, outputTokens: number, takenBy: readonly string[] }
  | { outcome: 'failed', error: AnvilarchError, attempts: number, takenBy: readonly string[] }

/** Runs requests through agents: routing, attempts, retries, resumption. */
export interface RequestRunner {
  /**
   * @param request - what to run
   * @param options - a sink to take the answer as it comes, and a signal of the caller going away
   * @returns how it ended; never rejects
   */
  run: (request: WorkRequest, options?: { sink?: WorkSink, signal?: AbortSignal }) => Promise<WorkResult>
  /** Requests in progress, by class. */
  inProgress: () => Record<WorkClass, number>
  /** How many more batch requests the fleet would start now for a service, as its replies say. */
  freeBatch: (service: string) => number
}
