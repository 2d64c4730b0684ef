/** Schema of the daemon settings. The compiler checks that it matches the types in `types.ts`. */
import { LOG_LEVELS } from 'anvilarch-utils'
import { z } from 'zod'
import { DEFAULT_AGENT_SETTINGS, DEFAULT_ENDPOINT_SETTINGS, DEFAULT_GATEWAY_SETTINGS, DEFAULT_LOG_SETTINGS, DEFAULT_PLATFORM_SETTINGS } from './defaults'
import { flag, httpUrl, listenAddress, listOf, name, numberBetween, oneOf, strictShape, wholeNumber } from './fieldSchemas'
import type { AssertTrue, SameKeys } from './schemaTypes'
import type { AgentSettings, DaemonSettings, EndpointSettings, GatewaySettings } from './types'

const MAX_PERCENT = 100

/** A gateway that serves nothing uses about half of this. */
const MIN_MEMORY_BYTES = 160 * 1024 * 1024

/** Enough for the connections of a gateway to its platform and its agents, and for some callers. */
const MIN_DESCRIPTORS = 256

const endpointSchema = strictShape({
  name: name(),
  kind: oneOf(['model', 'plain']),
  service: name().optional(),
  url: httpUrl(),
  checksFencing: flag().default(DEFAULT_ENDPOINT_SETTINGS.checksFencing),
  slots: wholeNumber(1).default(DEFAULT_ENDPOINT_SETTINGS.slots)
}) satisfies z.ZodType<EndpointSettings>

const agentSchema = strictShape({
  endpoints: listOf(endpointSchema, 'endpoints').default(DEFAULT_AGENT_SETTINGS.endpoints),
  heartbeatMs: wholeNumber(1).default(DEFAULT_AGENT_SETTINGS.heartbeatMs),
  endpointSilenceMs: wholeNumber(1).default(DEFAULT_AGENT_SETTINGS.endpointSilenceMs),
  coalesceMs: wholeNumber(0).default(DEFAULT_AGENT_SETTINGS.coalesceMs),
  attemptRetentionMs: wholeNumber(1).default(DEFAULT_AGENT_SETTINGS.attemptRetentionMs),
  barRetentionMs: wholeNumber(1).default(DEFAULT_AGENT_SETTINGS.barRetentionMs),
  maxQueuedOnline: wholeNumber(0).default(DEFAULT_AGENT_SETTINGS.maxQueuedOnline),
  maxOutputBytes: wholeNumber(1).default(DEFAULT_AGENT_SETTINGS.maxOutputBytes),
  drainTimeoutMs: wholeNumber(0).default(DEFAULT_AGENT_SETTINGS.drainTimeoutMs)
}) satisfies z.ZodType<AgentSettings>

const gatewaySchema = strictShape({
  exchangeIntervalMs: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.exchangeIntervalMs),
  silenceMs: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.silenceMs),
  retryBudgetPercent: numberBetween(0, MAX_PERCENT).default(DEFAULT_GATEWAY_SETTINGS.retryBudgetPercent),
  pollIntervalMs: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.pollIntervalMs),
  leaseMs: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.leaseMs),
  maxBatchInProgress: wholeNumber(0).default(DEFAULT_GATEWAY_SETTINGS.maxBatchInProgress),
  partItems: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.partItems),
  partBytes: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.partBytes),
  maxConcurrentRequests: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.maxConcurrentRequests),
  memoryBytes: wholeNumber(MIN_MEMORY_BYTES).optional(),
  maxDescriptors: wholeNumber(MIN_DESCRIPTORS).optional(),
  headerTimeoutMs: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.headerTimeoutMs),
  idleTimeoutMs: wholeNumber(1).default(DEFAULT_GATEWAY_SETTINGS.idleTimeoutMs),
  drainTimeoutMs: wholeNumber(0).default(DEFAULT_GATEWAY_SETTINGS.drainTimeoutMs),
  routingPolicy: oneOf(['affinity', 'round_robin', 'random', 'least_reported_load']).default(DEFAULT_GATEWAY_SETTINGS.routingPolicy)
}) satisfies z.ZodType<GatewaySettings>

const listenSchema = strictShape({
  callers: listenAddress().optional(),
  peers: listenAddress(),
  operations: listenAddress()
}) satisfies z.ZodType<DaemonSettings['listen']>

const platformSchema = strictShape({
  adapter: oneOf(['http']).default(DEFAULT_PLATFORM_SETTINGS.adapter),
  tableUrl: httpUrl(),
  objectsUrl: httpUrl(),
  hostsUrl: httpUrl(),
  timeoutMs: wholeNumber(1).default(DEFAULT_PLATFORM_SETTINGS.timeoutMs)
}) satisfies z.ZodType<DaemonSettings['platform']>

/** Schema of the settings of a daemon; its output has all defaults filled in. */
export const settingsSchema = strictShape({
  role: oneOf(['gateway', 'agent']),
  name: name(),
  host: name(),
  failureDomain: name(),
  region: name(),
  listen: listenSchema,
  platform: platformSchema,
  log: strictShape({ level: oneOf(LOG_LEVELS).default(DEFAULT_LOG_SETTINGS.level) }).prefault({}),
  agent: agentSchema.prefault({}),
  gateway: gatewaySchema.prefault({})
}) satisfies z.ZodType<DaemonSettings>

/** Fails to compile if a schema and its type in `types.ts` differ in a required or optional key. */
export type SettingsSchemaKeysMatch = [
  AssertTrue<SameKeys<z.output<typeof settingsSchema>, DaemonSettings>>,
  AssertTrue<SameKeys<z.output<typeof endpointSchema>, EndpointSettings>>,
  AssertTrue<SameKeys<z.output<typeof agentSchema>, AgentSettings>>,
  AssertTrue<SameKeys<z.output<typeof gatewaySchema>, GatewaySettings>>,
  AssertTrue<SameKeys<z.output<typeof listenSchema>, DaemonSettings['listen']>>,
  AssertTrue<SameKeys<z.output<typeof platformSchema>, DaemonSettings['platform']>>
]
