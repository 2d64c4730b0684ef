/** What forwarding one client request works with. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from 'anvilarch-utils'
import type { RateLimiter } from '../accounts/limits/rateLimiter'
import type { Caller } from '../accounts/types'
import type { CrashMonitor } from '../crashes/crashMonitor'
import type { RequestIdentity } from '../crashes/fingerprint'
import type { ConnectionPools } from '../endpoints/connectionPools'
import type { LoadTable } from '../endpoints/loadTable'
import type { Placement, PlacementCriteria } from '../endpoints/placement'
import type { UsageReporter } from '../endpoints/usageReporter'
import type { RequestMetadata, Route } from '../model/types'
import type { LogRateLimiter } from '../telemetry/logRateLimiter'
import type { TrafficCounters } from '../telemetry/trafficCounters'
import type { ServingMetrics } from '../telemetry/metrics'
import type { DrainState } from './clientResponse'
import type { HoldTimes } from './holdTimes'
import type { RequestLog } from './requestLog'
import type { EndpointResponse } from './runAttempt'
import type { RequestWire } from './types'
import type { EventLog } from '../telemetry/events'

/** Parts that forwarding needs. */
export interface ForwardParts {
  clock: Clock
  log: EventLog
  metrics: ServingMetrics
  loads: LoadTable
  placement: Placement
  use: UsageReporter
  pools: ConnectionPools
  wire: RequestWire
  drainState: DrainState
  holdTimes: HoldTimes
  crashes: CrashMonitor
  limits: Pick<RateLimiter, 'acquire'>
  /** @returns whether something new may still be started for a caller */
  isStillAllowed: (caller: Caller) => boolean
  traffic: TrafficCounters
  /** Bounds the lines about requests that went well. */
  logRateLimiter: LogRateLimiter
  random: () => number
}

/** A client request that has been read. */
export interface ClientRequest {
  request: IncomingMessage
  response: ServerResponse
  body: Buffer
  metadata: RequestMetadata
  route: Route
  caller: Caller
  configurationVersion: number
  /** Local time at which the head had arrived. */
  arrivedAtMs: number
}

/** @returns what the request is recognized by when its caller sends it again */
export function requestIdentityOf ({ request, body }: ClientRequest): RequestIdentity {
  return { method: request.method ?? '', host: request.headers.host ?? '', path: request.url ?? '', body }
}

/**
 * @param client - the request
 * @param state - how far it has come
 * @param service - where it goes
 * @returns what its place depends on
 */
export function placementTerms (client: ClientRequest, state: RequestState, service: string): PlacementCriteria {
  return { service, sharedPrefixes: client.metadata.promptPrefixes.slice(0, -1), excluded: state.tried }
}

/** How far a request has come. */
export interface RequestState {
  /** Service that the request goes to; undefined when its route has none. */
  readonly service: string | undefined
  readonly timeoutMs: number
  readonly deadlineAtMs: number
  readonly requestLog: RequestLog
  /** Starts of endpoints that the request has been offered to. */
  readonly tried: Set<string>
  attemptsThatMayHaveRun: number
  /** Sends in all, refused ones included. */
  sendCount: number
  /** Those of them that have certainly not run. */
  refusedSendCount: number
  /** Last event that the client has. */
  lastEventId: number | undefined
  /** Whether the head of the answer has gone to the client. */
  responseStarted: boolean
  firstEventAtMs: number | undefined
  /** Events with an id that were handed on, and the id of the first of them. */
  eventCount: number
  firstEventId: number | undefined
  /** Longest time between two events so far. */
  longestGapMs: number
  /** An endpoint's own failure; the client gets it if no other endpoint does better. */
  failedResponse: FailedResponse | undefined
}

/** A failure that an endpoint has answered itself. */
export interface FailedResponse {
  endpointId: string
  whole: EndpointResponse
}
