/** Routes, services, endpoints and limits as the serving core uses them. Adapters create them from their wire formats. */
import type { AccountDirectory } from '../accounts/accountDirectory'
import type { ListedAccount } from '../accounts/types'

/**
 * Kind of a route, which determines whether its requests may be repeated.
 * `idempotent` requests may run any number of times, `once` requests at most once for each client attempt,
 * `stream` requests get a stream of events in response, and `batch` routes accept jobs.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream' | 'batch'

/** A service that a route sends requests to, and its share of them. */
export interface RouteTarget {
  service: string
  /** Share relative to the other targets of the route. */
  weight: number
}

/** One route of the configuration. */
export interface Route {
  name: string
  host: string
  pathPrefix: string
  kind: RouteKind
  targets: RouteTarget[]
  /** Time limit of a request, from its arrival. */
  timeoutMs: number
  /** Longest time to the response, or to the first event, that counts as on time. */
  latencyObjectiveMs: number
  /** Longest pause between two events that counts as on time; 0 if the route has no such objective. */
  gapObjectiveMs: number
  /** Streams: time without an event, also before the first one, after which clients leave. */
  clientEventTimeoutMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Maximum number of endpoints on which one client attempt may run. */
  maxAttempts: number
  /** Whether a stream may be resumed at another endpoint after its last event. */
  resumable: boolean
  /** Batch: time from the first submission until all results are due. */
  jobDueMs: number
  /** Batch: time from the first submission after which an item may be given up. */
  jobExpiryMs: number
  /** Batch: maximum number of waiting tokens of one client account on the route, over all gateways; 0 means no limit. */
  waitingTokenLimit: number
  /** Whether callers need no key. */
  isPublic: boolean
}

/** One service of the configuration. */
export interface Service {
  name: string
  /** Number of connections that one endpoint accepts from all callers together. */
  maxConnections: number
  /** Number of requests that a model engine runs concurrently; undefined for plain services. */
  engineSlots: number | undefined
}

/** Limits of client requests. */
export interface ClientLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** One version of the configuration. */
export interface Configuration {
  version: number
  routes: Route[]
  services: Map<string, Service>
  limits: ClientLimits
  /** Undefined if callers need no key. */
  accounts: AccountDirectory | undefined
}

/** A version as written by the operator, with plaintext account keys. It is passed only to the code that builds the directory. */
export interface ListedConfiguration extends Omit<Configuration, 'accounts'> {
  accounts: ListedAccount[] | undefined
}

/** Whether an endpoint accepts new requests. */
export type EndpointState = 'ready' | 'draining'

/** One start of an endpoint, as listed in the store. */
export interface Endpoint {
  /** Id by which the endpoint is addressed. It may stay the same after a restart, although the endpoint keeps no state. */
  id: string
  /** Start time as reported by the endpoint, in Unix milliseconds; undefined if the endpoint reports none. */
  bornAtMs: number | undefined
  /** Id of this start, the key of all state that is recorded about an endpoint. See `startIdOf`. */
  startId: string
  service: string
  /** IP and port. */
  address: string
  failureDomain: string
  /** Version of the endpoint's software, not of its weights. Versions have no order. */
  softwareVersion: string
  slots: number
  state: EndpointState
  /** Remaining time for which the endpoint is slow after its start. */
  coldLeftMs: number
  /** Version of the store at which the entry was last written. */
  listedVersion: number
}

/** Decoded row of the list of endpoints. */
export type EndpointRow = { row: 'endpoint', endpoint: Endpoint } | UnusableRow

/** A row that does not describe an endpoint: a field is missing or has an unknown value. */
export interface UnusableRow {
  row: 'unusable'
  id: string
  field: string
  reason: string
}

/**
 * @param id - id of an endpoint
 * @param bornAtMs - its start time, if reported
 * @returns the id of the start; without a start time, the id of the endpoint
 */
export function startIdOf (id: string, bornAtMs: number | undefined): string {
  return bornAtMs === undefined ? id : `${id}@${bornAtMs}`
}

/** Metadata of a request, decoded from its headers. */
export interface RequestMetadata {
  requestId: string
  /** How long the client waits, from the time it sent the request; undefined if not specified. */
  deadlineMs: number | undefined
  /** Last event that the client has received. */
  lastEventId: number | undefined
  /** Id of the client attempt that received the first event of the stream that this request resumes. */
  resumesRequestId: string | undefined
  /** Prompt prefixes, outermost first; the last one belongs to the request or its session. */
  promptPrefixes: string[]
  promptTokens: number
  maxOutputTokens: number
}
