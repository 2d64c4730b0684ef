/** What clients, endpoints and the operator saw of a run. All times are on one clock, in milliseconds. */

/** How the connection of a request ended for its client. `left`: the client closed it before the response was complete. */
export type ResponseEnd = 'complete' | 'closed' | 'reset' | 'refused' | 'left'

/** Request that a client sent to a gateway. */
export interface ClientRequest {
  requestId: string
  /** Name of the gateway. */
  gateway: string
  route: string
  /** Longest time that the client waits. */
  deadlineMs: number
  routeTimeoutMs: number
  /** Time at which the first byte was sent. */
  sendBeganAtMs: number
  /** Time at which the last byte was sent; undefined if the connection ended before. */
  sentAtMs: number | undefined
  /** Time at which the head of the response arrived; undefined if there is none. */
  headAtMs: number | undefined
  status: number | undefined
  lastByteAtMs: number | undefined
  /** Time at which the head of an earlier response with `Connection: close` arrived on the same connection; undefined if there is none. */
  closeAnnouncedAtMs?: number
  end: ResponseEnd
  endedAtMs: number
  /** How the request was sent and read, for reports. */
  form: string
}

/**
 * How a run ended at its endpoint. `rejected`: the endpoint responded that it did not run the request. `broke_off`: the endpoint ended it.
 * `dropped`: its sender closed the connection.
 */
export type RunEnd = 'complete' | 'rejected' | 'broke_off' | 'dropped' | 'running'

/** Run of a request at an endpoint, from its arrival there. */
export interface EndpointRun {
  requestId: string
  endpoint: string
  arrivedAtMs: number
  /** Time at which the endpoint began to work on it; undefined if it waited for a slot until its end. */
  beganAtMs: number | undefined
  end: RunEnd
  /** Undefined while it runs. */
  endedAtMs: number | undefined
}

/** Signal to the process of a machine. */
export interface Signal {
  machine: string
  signal: 'SIGTERM' | 'SIGHUP'
  atMs: number
}

/** Change of the configuration. */
export interface ConfigurationChange {
  version: number
  sentAtMs: number
  /** Undefined if no acknowledgement came; it may be in force even so. */
  acknowledgedAtMs: number | undefined
}

/** Disruption that is not planned work. */
export interface Disruption {
  fromMs: number
  toMs: number
}

/** Bounds of the deployment. */
export interface Bounds {
  graceMs: number
  lossSlackMs: number
  contactMs: number
  configurationApplyMs: number
}

/** Observations of one run. */
export interface Evidence {
  bounds: Bounds
  requests: readonly ClientRequest[]
  runs: readonly EndpointRun[]
  signals: readonly Signal[]
  changes: readonly ConfigurationChange[]
  disruptions: readonly Disruption[]
}
