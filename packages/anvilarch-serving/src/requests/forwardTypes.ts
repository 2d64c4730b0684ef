/** Types for forwarding a client request. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from 'anvilarch-utils'
import type { RateLimiter } from '../accounts/limits/rateLimiter'
import type { Caller } from '../accounts/types'
import type { CrashMonitor } from '../crashes/crashMonitor'
import type { RequestIdentity } from '../crashes/fingerprint'
import type { DrainState } from '../drain/drainState'
import type { ConnectResult } from '../crashes/lossProber'
import type { ConnectionPools } from '../endpoints/connectionPools'
import type { LoadTable } from '../endpoints/loadTable'
import type { Placement, PlacementCriteria } from '../endpoints/placement'
import type { UsageReporter } from '../endpoints/usageReporter'
import type { RequestMetadata, Route } from '../model/types'
import type { StreamOrigins } from '../streams/streamOrigins'
import type { StreamOrigin } from '../streams/types'
import type { LogRateLimiter } from '../telemetry/logRateLimiter'
import type { TrafficCounters } from '../telemetry/trafficCounters'
import type { ServingMetrics } from '../telemetry/metrics'
import type { ByteBudget } from './byteBudget'
import type { HoldTimes } from './holdTimes'
import type { ServiceTurns } from './serviceTurns'
import type { RequestLog } from './requestLog'
import type { EndpointResponse } from './runAttempt'
import type { RequestWire } from './types'
import type { EventLog } from '../telemetry/events'

/** Dependencies of request forwarding. */
export interface ForwardParts {
  clock: Clock
  log: EventLog
  metrics: ServingMetrics
  loads: LoadTable
  placement: Placement
  usageReporter: UsageReporter
  pools: ConnectionPools
  /** Attempts to connect to an address, without sending anything. */
  probeConnection: (address: string) => Promise<ConnectResult>
  wire: RequestWire
  drainState: DrainState
  holdTimes: HoldTimes
  serviceTurns: ServiceTurns
  /** @returns the routes that send requests to a service */
  routesTo: (service: string) => readonly Route[]
  /** Limits the responses that are buffered at the same time. */
  responseBudget: ByteBudget
  crashes: CrashMonitor
  streamOrigins: StreamOrigins
  limits: Pick<RateLimiter, 'acquire'>
  /** @returns whether new work may still be started for the caller */
  isStillAuthorized: (caller: Caller) => boolean
  /** @returns sum of the rate limits of all accounts */
  allLimitsPerSecond: () => number
  traffic: TrafficCounters
  /** Limits the log lines about successful requests. */
  logRateLimiter: LogRateLimiter
  /** @returns a random number in [0, 1) */
  random: () => number
}

/** A client request whose body has been read. */
export interface ClientRequest {
  request: IncomingMessage
  response: ServerResponse
  body: Buffer
  metadata: RequestMetadata
  route: Route
  caller: Caller
  configurationVersion: number
  /** Local time at which the head arrived. */
  arrivedAtMs: number
  /** Local time at which the body was complete. */
  readAtMs: number
}

/** @returns the properties by which the request is recognized when its caller sends it again */
export function requestIdentityOf ({ request, body, metadata }: ClientRequest): RequestIdentity {
  return { method: request.method ?? '', host: request.headers.host ?? '', path: request.url ?? '', body, sharedParts: metadata.promptPrefixes.slice(0, -1) }
}

/**
 * @param client - the request
 * @param nowMs - current local time
 * @returns time left until its client leaves without a first event; `Infinity` unless it is a stream
 */
export function firstEventRemainingMs ({ route, arrivedAtMs }: Pick<ClientRequest, 'route' | 'arrivedAtMs'>, nowMs: number): number {
  return route.kind === 'stream' ? arrivedAtMs + route.clientEventTimeoutMs - nowMs : Infinity
}

/**
 * @param metadata - size of the request, and the last event that its client has
 * @returns how many tokens are still to be generated at most; an event has at least one
 */
export function outputTokensLeft ({ maxOutputTokens, lastEventId }: Pick<RequestMetadata, 'maxOutputTokens' | 'lastEventId'>): number {
  return Math.max(0, maxOutputTokens - (lastEventId ?? 0))
}

/**
 * @param client - the request
 * @param state - progress of the request
 * @param service - target service
 * @returns the criteria for the choice of an endpoint
 */
export function placementCriteria (client: ClientRequest, state: RequestState, service: string): PlacementCriteria {
  return {
    service,
    softwareVersion: state.origin?.softwareVersion,
    sharedPrefixes: client.metadata.promptPrefixes.slice(0, -1),
    gapObjectiveMs: client.route.gapObjectiveMs,
    excluded: state.tried
  }
}

/** Progress of a request. */
export interface RequestState {
  /** Target service; undefined if the route has none. */
  service: string | undefined
  /** Time limit of the request from its arrival. */
  readonly timeoutMs: number
  readonly deadlineAtMs: number
  readonly requestLog: RequestLog
  /** Start ids of the endpoints that the request has been sent to. */
  readonly tried: Set<string>
  /** Start ids of the endpoints that may have run the request, apart from attempts in progress. */
  readonly ranAt: Set<string>
  /** All sends, refused ones included. */
  sendCount: number
  /** Local time of the first send. */
  firstSentAtMs: number | undefined
  /** Sends that are known not to have run. */
  refusedSendCount: number
  /** Id of the last event that has been sent to the client. */
  lastEventId: number | undefined
  /** Whether the head of the response has been sent to the client. */
  responseStarted: boolean
  /** What the stream is bound to; undefined until it has begun. */
  origin: StreamOrigin | undefined
  firstEventAtMs: number | undefined
  /** Number of forwarded events that have an id. */
  eventCount: number
  /** Id of the first of these events. */
  firstEventId: number | undefined
  /** Longest time between two consecutive events so far. */
  longestGapMs: number
  /** Whether the response was completed although nothing confirmed the orderly end of its connection. */
  isEndUnconfirmed: boolean
  /** Failure response of an endpoint; sent to the client if no other endpoint succeeds. */
  failedResponse: FailedResponse | undefined
}

/** A failure response that an endpoint has sent. */
export interface FailedResponse {
  endpointId: string
  response: EndpointResponse
}
