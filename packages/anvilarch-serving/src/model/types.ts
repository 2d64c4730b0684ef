/** What the serving core knows of routes, services, endpoints and limits. Adapters build these from their wire. */
import type { AccountDirectory } from '../accounts/accountDirectory'
import type { ListedAccount } from '../accounts/types'

/**
 * What may be repeated.
 * `idempotent` requests may run any number of times, `once` at most once for each client attempt,
 * `stream` answers with events, and `batch` accepts jobs.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream' | 'batch'

/** A service that a route sends to, and its share of the route's requests. */
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
  /** Longest time that a request is kept waiting, from its arrival. */
  timeoutMs: number
  /** Time to the answer, or to the first event, that still counts as on time. */
  latencyObjectiveMs: number
  /** Longest pause between two events that still counts as on time; 0 when the route has none. */
  gapObjectiveMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Most endpoints that one client attempt may run on. */
  maxAttempts: number
  /** Whether a stream may go on at another endpoint after its last event. */
  resumable: boolean
  /** Batch: time from the first submission until all results are due. */
  jobDueMs: number
  /** Batch: time from the first submission after which an item may be given up. */
  jobExpiryMs: number
  /** Batch: most tokens of one client account that may wait on the route over all gateways; 0 means no limit. */
  waitingTokenLimit: number
  /** Whether callers need no key. */
  isPublic: boolean
}

/** One service of the configuration. */
export interface Service {
  name: string
  /** Connections that one endpoint accepts from all callers together. */
  maxConnections: number
  /** Requests that a model engine runs at once; undefined for plain services. */
  engineSlots: number | undefined
}

/** Bounds on what a client may send. */
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
  /** Undefined where callers need no key. */
  accounts: AccountDirectory | undefined
}

/** A version as the operator writes it, with the keys of accounts in clear. It goes no further than to whoever builds the directory. */
export interface ListedConfiguration extends Omit<Configuration, 'accounts'> {
  accounts: ListedAccount[] | undefined
}

/** Whether an endpoint takes new requests. */
export type EndpointState = 'ready' | 'draining'

/** One start of an endpoint, as the store lists it. */
export interface Endpoint {
  /** Id by which an endpoint is addressed. An endpoint that starts again may bear it again, and holds nothing of before. */
  id: string
  /** Time of day at which the endpoint says it was started, in Unix milliseconds; undefined where endpoints do not say. */
  bornAtMs: number | undefined
  /** Tells one start from another: everything that is kept about an endpoint is kept under it. See `startIdOf`. */
  startId: string
  service: string
  /** IP and port. */
  address: string
  failureDomain: string
  slots: number
  state: EndpointState
  /** How much longer the endpoint is slow after its start. */
  coldLeftMs: number
  /** Version of the store at which the entry was last written. */
  listedVersion: number
}

/** A row of the list of endpoints, decoded. */
export type EndpointRow = { row: 'endpoint', endpoint: Endpoint } | UnusableRow

/** A row that names no endpoint: it lacks a field, or a field holds what is not known. */
export interface UnusableRow {
  row: 'unusable'
  id: string
  field: string
  reason: string
}

/**
 * @param id - of an endpoint
 * @param bornAtMs - when it was started, if it says so
 * @returns an id that no other start has
 */
export function startIdOf (id: string, bornAtMs: number | undefined): string {
  return bornAtMs === undefined ? id : `${id}@${bornAtMs}`
}

/** What a client says about its request, decoded from the headers. */
export interface RequestMetadata {
  requestId: string
  /** How long the client waits, from its sending; undefined when it does not say. */
  deadlineMs: number | undefined
  /** Last event that the client already has. */
  lastEventId: number | undefined
  /** Shared parts of the prompt, outermost first; the last one belongs to the request or its session. */
  promptPrefixes: string[]
  promptTokens: number
  maxOutputTokens: number
}
