/** Selection of the agent and endpoint that run the next attempt of a request. */
import type { EndpointLoad, WorkClass } from 'anvilarch-protocol'

/** Names of the routing policies. */
export type RoutingPolicy = 'affinity' | 'round_robin' | 'random' | 'least_reported_load'

/** An endpoint that may run requests of a service. */
export interface Target {
  /** `agent/endpoint`, unique in the fleet. */
  key: string
  agent: string
  /** IP address and port of the agent. */
  address: string
  endpoint: string
  /** Incarnation of the agent, as last recorded by this gateway. */
  incarnation: string
  failureDomain: string
  region: string
}

/** Estimated load of an endpoint. */
export interface LoadEstimate {
  /** Requests running, queued or on their way there. */
  requests: number
  /** Further requests that it would start at once; undefined before the first report. */
  free: number | undefined
}

/** A request to be routed. */
export interface RoutingInput {
  service: string
  workClass: WorkClass
  /** Hash of the prompt prefix; empty when there is none. */
  affinityKey: string
  /** Keys of endpoints that must not be chosen. */
  exclude: ReadonlySet<string>
  /** Keys of endpoints that are chosen only when no other is allowed. */
  avoid: ReadonlySet<string>
}

/** Input of a routing policy. */
export interface PolicyInput extends RoutingInput {
  targets: readonly Target[]
  loadOf: (target: Target) => LoadEstimate
  ownFailureDomain: string
  ownRegion: string
  /** Number of choices made so far. */
  turn: number
  /** A number in [0, 1). */
  random: () => number
}

/** Chooses endpoints and counts the requests that this gateway has in progress there. */
export interface Router {
  choose: (input: RoutingInput) => Target | undefined
  /** Records that a start was sent to an endpoint and awaits its response. */
  noteSent: (target: Target, workClass: WorkClass) => void
  /** Records that the start has been responded to, or is no longer waited for. */
  noteResponded: (target: Target, workClass: WorkClass) => void
  /** Records that this gateway is done with the attempt. */
  noteEnded: (target: Target, workClass: WorkClass) => void
  /** Records the outcome of an attempt at an endpoint. */
  noteOutcome: (target: Target, isFailure: boolean) => void
  noteLoad: (target: Target, load: EndpointLoad) => void
  /** Rebuilds the index of endpoints before the next choice. */
  invalidate: () => void
  /** Number of further batch requests of a service that would start now. */
  freeBatch: (service: string) => number
}
