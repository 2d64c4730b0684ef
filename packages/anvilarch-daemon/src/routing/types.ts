/** Choice of the agent and endpoint that run the next attempt of a request. */
import type { EndpointLoad, WorkClass } from 'anvilarch-protocol'

/** Names of the routing policies. */
export type RoutingPolicy = 'affinity' | 'round_robin' | 'random' | 'least_reported_load'

/** An endpoint that may run work of a service. */
export interface Target {
  /** `agent/endpoint`, unique in the fleet. */
  key: string
  agent: string
  /** IP number and port of the agent. */
  address: string
  endpoint: string
  /** The incarnation of the agent that this gateway knows. */
  incarnation: string
  failureDomain: string
  region: string
}

/** What a policy knows of an endpoint's load. */
export interface LoadEstimate {
  /** Requests running, queued and under way there. */
  requests: number
  /** More requests that it would start at once; undefined before the first report. */
  free: number | undefined
}

/** What is being routed. */
export interface RoutingInput {
  service: string
  workClass: WorkClass
  /** Hash of the prompt prefix; empty when there is none. */
  affinityKey: string
  /** Keys of endpoints that must not be chosen. */
  exclude: ReadonlySet<string>
  /** Keys of endpoints that are chosen only when no other may be. */
  avoid: ReadonlySet<string>
}

/** Everything that a policy decides on. */
export interface PolicyInput extends RoutingInput {
  targets: readonly Target[]
  loadOf: (target: Target) => LoadEstimate
  ownFailureDomain: string
  ownRegion: string
  /** Counts the choices made so far. */
  turn: number
  /** A number in [0, 1). */
  random: () => number
}

/** Chooses endpoints and keeps count of what this gateway has under way there. */
export interface Router {
  choose: (input: RoutingInput) => Target | undefined
  /** A start was sent to an endpoint and is not answered yet. */
  noteSent: (target: Target, workClass: WorkClass) => void
  /** The start was answered, or will not be. */
  noteAnswered: (target: Target, workClass: WorkClass) => void
  /** The attempt is over for this gateway. */
  noteEnded: (target: Target, workClass: WorkClass) => void
  /** An endpoint has answered an attempt, with a failure of its own or not. */
  noteOutcome: (target: Target, isFailure: boolean) => void
  noteLoad: (target: Target, load: EndpointLoad) => void
  /** The view of the agents changed by something this gateway learned. */
  invalidate: () => void
  /** How many more batch requests of a service would start now. */
  freeBatch: (service: string) => number
}
