/** Types of the configuration document and the daemon settings after validation. */
import type { LogLevel } from 'anvilarch-utils'

/** A version of a model in the weight store. */
export interface ModelVersion {
  /** Size of the weights, which determines how long they take to load. */
  sizeBytes: number
}

/** A model that services can use. */
export interface ModelSpec {
  versions: Record<string, ModelVersion>
  adapters: string[]
}

/** Policy by which a model service shares its endpoints between online and batch work. */
export interface BatchPolicy {
  /** Target of the 95th percentile of the time to first token of online work, which batch work must not exceed. */
  firstTokenTargetMs: number
  /** Target of the 95th percentile of the time between tokens of online work, which batch work must not exceed. */
  interTokenTargetMs: number
  /** Share of the measured slack that batch work may use. A lower value reduces the tail latency of online work. */
  slackSharePercent: number
}

/** A service whose endpoints are model engines. */
export interface ModelService {
  kind: 'model'
  model: string
  version: string
  adapters: string[]
  replicas: number
  /** Work classes that callers may use. */
  classes: Array<'online' | 'batch'>
  /** Failure domains to spread replicas over; all if empty. */
  failureDomains: string[]
  /** Timeout of a request without a deadline. */
  timeoutMs: number
  batch: BatchPolicy
}

/** A route of a plain service. */
export interface PlainRoute {
  method: string
  /** Path pattern with `:name` parameters and an optional final `*`. */
  path: string
  /** Whether calls may be retried. A call on a route that is not idempotent runs at most once. */
  idempotent: boolean
  timeoutMs: number
}

/** A service whose endpoints are plain HTTP servers. */
export interface PlainService {
  kind: 'plain'
  replicas: number
  routes: PlainRoute[]
}

/** A service of either kind. */
export type ServiceSpec = ModelService | PlainService

/** Limits of a caller account. */
export interface CallerLimits {
  /** SHA-256 of the account's bearer key, as hex digits. Absent in `defaultCaller`. */
  keySha256?: string
  requestsPerSecond: number
  burst: number
  maxConcurrent: number
  maxActiveJobs: number
}

/** The configuration of the whole system. */
export interface ConfigurationDocument {
  formatVersion: 1
  regions: Record<string, { failureDomains: string[] }>
  models: Record<string, ModelSpec>
  services: Record<string, ServiceSpec>
  /** Limits of callers that are not in `callers`. */
  defaultCaller: CallerLimits
  callers: Record<string, CallerLimits>
  limits: {
    maxBodyBytes: number
    maxFileBytes: number
    maxItemBytes: number
    /** Maximum number of distinct attempts of an item before it fails. */
    maxItemAttempts: number
    /** Maximum number of concurrent orders to load weights in the whole fleet. */
    maxConcurrentLoads: number
    /** Time for which results of an ended job can be read. */
    resultRetentionHours: number
  }
}

/** An endpoint of an agent. */
export interface EndpointSettings {
  name: string
  kind: 'model' | 'plain'
  /** Service of a plain endpoint. A model endpoint is assigned its service by an order. */
  service?: string
  url: string
  /** Whether the endpoint itself rejects orders with an old fencing token. */
  checksFencing: boolean
  /** Maximum number of concurrent requests of the endpoint. */
  slots: number
}

/** Settings of an agent. */
export interface AgentSettings {
  endpoints: EndpointSettings[]
  /** Maximum interval between frames or heartbeats on each attempt. */
  heartbeatMs: number
  /** Inactivity of an endpoint after which its stream is reopened. */
  endpointSilenceMs: number
  /** Time over which output frames of a stream are coalesced. */
  coalesceMs: number
  /** Time for which the output of an ended attempt can be read again. */
  attemptRetentionMs: number
  /** Time for which barred attempt ids are kept. */
  barRetentionMs: number
  maxQueuedOnline: number
  maxOutputBytes: number
  /** Maximum time to wait for running attempts after SIGTERM. */
  drainTimeoutMs: number
}

/** Settings of a gateway. */
export interface GatewaySettings {
  /** Interval of the control exchanges with one agent, before it is extended according to the number of agents. */
  exchangeIntervalMs: number
  /** Inactivity of an attempt after which it is resumed over a new connection. */
  silenceMs: number
  /** Maximum number of retries, as a percentage of requests. */
  retryBudgetPercent: number
  /** Interval between polls of the table for configuration, quarantine and jobs. */
  pollIntervalMs: number
  /** Time without renewal after which the lease of a job part may be taken over. */
  leaseMs: number
  /** Maximum number of batch items in progress at this gateway. */
  maxBatchInProgress: number
  /** Number of lines in one chunk of an uploaded file, which is also one part of a job. */
  partItems: number
  partBytes: number
  maxConcurrentRequests: number
  /** Memory that this process may use; that of the machine, or of its control group, by default. */
  memoryBytes?: number
  /** Descriptors that this process may have open; the limit of the system by default. */
  maxDescriptors?: number
  /** Maximum duration of the head of a request. */
  headerTimeoutMs: number
  /** Time after which a connection without a request is closed. */
  idleTimeoutMs: number
  /** Maximum time to wait for requests in progress after SIGTERM. */
  drainTimeoutMs: number
  routingPolicy: 'affinity' | 'round_robin' | 'random' | 'least_reported_load'
}

/** Settings of a daemon. */
export interface DaemonSettings {
  role: 'gateway' | 'agent'
  name: string
  host: string
  failureDomain: string
  region: string
  listen: {
    /** HTTP address for callers; gateways only. */
    callers?: string
    /** HTTP/2 address for other daemons. */
    peers: string
    /** HTTP address for operators: /healthz, /readyz, /metrics, /timeline. */
    operations: string
  }
  platform: {
    adapter: 'http'
    tableUrl: string
    objectsUrl: string
    hostsUrl: string
    timeoutMs: number
  }
  log: { level: LogLevel }
  agent: AgentSettings
  gateway: GatewaySettings
}

/** A problem of a document or of settings. */
export interface ConfigurationIssue {
  file: string
  line: number
  column: number
  /** Path of the field, for example `services.buscador.replicas`. */
  field: string
  found: string
  expected: string
  /** Valid names that are similar to the one found. */
  didYouMean: string[]
}
