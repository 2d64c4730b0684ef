/** Creates the daemon context of a gateway under test. */
import type { ConfigurationDocument, DaemonSettings, GatewaySettings } from 'anvilarch-configuration'
import type { PlatformPorts } from 'anvilarch-protocol'
import { type Clock, createRandom, SILENT_LOGGER } from 'anvilarch-utils'
import type { VersionedConfiguration } from '../../configuration/types'
import type { DaemonContext } from '../../context'
import type { AgentDirectory } from '../../membership/types'
import { createMetrics } from '../../metrics/createMetrics'
import { createTimeline } from '../../timeline/createTimeline'

/** Options of `createTestContext`. */
export interface TestContextOptions {
  name: string
  incarnation: string
  clock: Clock
  platform: PlatformPorts
  seed: number
  gateway?: Partial<GatewaySettings>
  document?: ConfigurationDocument
}

/** Settings that tests of jobs depend on; parts are small, so that a small job has several. */
const GATEWAY: Partial<GatewaySettings> = {
  pollIntervalMs: 1_000,
  leaseMs: 6_000,
  maxBatchInProgress: 8,
  partItems: 4,
  partBytes: 4_096,
  drainTimeoutMs: 20_000
}

/** Configuration with one service for model `m` and a limit of three active jobs. */
export const TEST_DOCUMENT: ConfigurationDocument = {
  formatVersion: 1,
  regions: { r: { failureDomains: ['d'] } },
  models: { m: { versions: { 1: { sizeBytes: 1 } }, adapters: [] } },
  services: {
    writer: {
      kind: 'model',
      model: 'm',
      version: '1',
      adapters: [],
      replicas: 1,
      classes: ['batch'],
      failureDomains: [],
      timeoutMs: 10_000,
      batch: { firstTokenTargetMs: 1, interTokenTargetMs: 1, slackSharePercent: 90 }
    }
  },
  defaultCaller: { requestsPerSecond: 100, burst: 100, maxConcurrent: 100, maxActiveJobs: 3 },
  callers: {},
  limits: {
    maxBodyBytes: 65_536, maxFileBytes: 1_048_576, maxItemBytes: 2_048, maxItemAttempts: 3, maxConcurrentLoads: 1, resultRetentionHours: 24
  }
}

/**
 * @param options - identity, clock and platform
 * @returns a context with fixed configuration
 */
export function createTestContext (options: TestContextOptions): DaemonContext {
  const document = options.document ?? TEST_DOCUMENT
  const configuration: VersionedConfiguration = { version: 1, hash: 'h', document, documentJson: '{}' }
  const settings = { role: 'gateway', name: options.name, gateway: { ...GATEWAY, ...options.gateway } } as DaemonSettings
  return {
    settings,
    incarnation: options.incarnation,
    clock: options.clock,
    random: createRandom(options.seed),
    logger: SILENT_LOGGER,
    metrics: createMetrics(),
    timeline: createTimeline({ clock: options.clock, process: options.name, capacity: 1_000 }),
    platform: options.platform,
    configuration: { current: () => configuration, version: () => 1, offer: () => 'not_newer', onChange: () => () => {} }
  }
}

/** A directory that never changes. */
export const STATIC_DIRECTORY: AgentDirectory = {
  list: () => [],
  get: () => undefined,
  noteLoad: () => {},
  noteDraining: () => {},
  noteUnreachable: () => {},
  noteIncarnation: () => {},
  noteEndpointDown: () => {},
  onChange: () => () => {}
}
