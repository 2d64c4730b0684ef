/** Default values of optional fields of documents and settings. */
import type { AgentSettings, BatchPolicy, CallerLimits, ConfigurationDocument, DaemonSettings, EndpointSettings, GatewaySettings, ModelService } from './types'

const KIBIBYTE = 1024
const MEBIBYTE = 1024 * KIBIBYTE
const GIBIBYTE = 1024 * MEBIBYTE

/** Default batch policy of a model service. */
export const DEFAULT_BATCH_POLICY: BatchPolicy = {
  firstTokenTargetMs: 1200,
  interTokenTargetMs: 26,
  slackSharePercent: 90
}

/** Optional fields of a model service. */
export const DEFAULT_MODEL_SERVICE: Pick<ModelService, 'adapters' | 'classes' | 'failureDomains' | 'timeoutMs'> = {
  adapters: [],
  classes: ['online', 'batch'],
  failureDomains: [],
  timeoutMs: 60_000
}

/** Default timeout of a plain route. */
export const DEFAULT_ROUTE_TIMEOUT_MS = 10_000

/** Limits of a caller if the document has no `defaultCaller`. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  requestsPerSecond: 100,
  burst: 200,
  maxConcurrent: 256,
  maxActiveJobs: 100
}

/** System-wide limits. */
export const DEFAULT_LIMITS: ConfigurationDocument['limits'] = {
  maxBodyBytes: 4 * MEBIBYTE,
  maxFileBytes: 2 * GIBIBYTE,
  maxItemBytes: MEBIBYTE,
  maxItemAttempts: 4,
  maxConcurrentLoads: 4,
  resultRetentionHours: 168
}

/** Optional fields of an endpoint. */
export const DEFAULT_ENDPOINT_SETTINGS: Pick<EndpointSettings, 'checksFencing' | 'slots'> = {
  checksFencing: true,
  slots: 32
}

/** Default settings of an agent. */
export const DEFAULT_AGENT_SETTINGS: AgentSettings = {
  endpoints: [],
  heartbeatMs: 500,
  endpointSilenceMs: 3000,
  coalesceMs: 5,
  attemptRetentionMs: 60_000,
  barRetentionMs: 600_000,
  maxQueuedOnline: 256,
  maxOutputBytes: 4 * MEBIBYTE,
  drainTimeoutMs: 600_000
}

/** Default settings of a gateway. */
export const DEFAULT_GATEWAY_SETTINGS: GatewaySettings = {
  exchangeIntervalMs: 1000,
  silenceMs: 1500,
  retryBudgetPercent: 10,
  pollIntervalMs: 2000,
  leaseMs: 10_000,
  maxBatchInProgress: 128,
  partItems: 500,
  partBytes: MEBIBYTE,
  maxConcurrentRequests: 4000,
  headerTimeoutMs: 60_000,
  idleTimeoutMs: 75_000,
  drainTimeoutMs: 600_000,
  routingPolicy: 'affinity'
}

/** Optional fields of the platform section. */
export const DEFAULT_PLATFORM_SETTINGS: Pick<DaemonSettings['platform'], 'adapter' | 'timeoutMs'> = {
  adapter: 'http',
  timeoutMs: 3000
}

/** Default log settings. */
export const DEFAULT_LOG_SETTINGS: DaemonSettings['log'] = { level: 'info' }
