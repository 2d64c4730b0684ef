/** Shared components of a daemon: settings, clock, random numbers, logger, metrics, timeline, platform and configuration. */
import { randomUUID } from 'node:crypto'
import type { DaemonSettings } from 'anvilarch-configuration'
import type { PlatformPorts } from 'anvilarch-protocol'
import { type Clock, createLogger, createRandom, createSystemClock, type Logger, onViolation, processSeed, type Random } from 'anvilarch-utils'
import { createConfigurationHolder } from './configuration/createConfigurationHolder'
import type { ConfigurationHolder } from './configuration/types'
import { createMetrics } from './metrics/createMetrics'
import type { Metrics } from './metrics/types'
import { createPlatform } from './platform/createPlatform'
import { createTimeline, DEFAULT_CAPACITY } from './timeline/createTimeline'
import type { Timeline } from './timeline/types'

/** Shared components of one daemon process. */
export interface DaemonContext {
  settings: DaemonSettings
  /** Unique to each start of the daemon. */
  incarnation: string
  clock: Clock
  random: Random
  logger: Logger
  metrics: Metrics
  timeline: Timeline
  platform: PlatformPorts
  configuration: ConfigurationHolder
}

/** The shared components, with a function to release them. */
export interface OwnedContext extends DaemonContext {
  /** Closes the connections to the platform and stops reporting invariant violations. */
  close: () => Promise<void>
}

/**
 * Creates the shared components of a daemon. Nothing is started; connections open on first use.
 *
 * @param settings - validated settings
 * @param overrides - replacements of components, for tests
 * @returns the shared components; the caller closes them after all other components have stopped
 */
export function createContext (settings: DaemonSettings, overrides: Partial<DaemonContext> = {}): OwnedContext {
  const clock = overrides.clock ?? createSystemClock()
  const logger = overrides.logger ?? createLogger({ level: settings.log.level, process: settings.name })
  const metrics = overrides.metrics ?? createMetrics({ processMetrics: true })
  const timeline = overrides.timeline ?? createTimeline({ clock, process: settings.name, capacity: DEFAULT_CAPACITY })
  const platform = createPlatform({ settings: settings.platform, clock, metrics })
  const unsubscribe = onViolation((name, detail) => {
    metrics.invariantViolations.inc({ name })
    timeline.record('invariant.violated', { detail: { name, found: detail } })
    logger.error('an invariant does not hold', { name, found: detail })
  })
  const base = {
    settings,
    incarnation: overrides.incarnation ?? randomUUID(),
    clock,
    random: overrides.random ?? createRandom(processSeed()),
    logger,
    metrics,
    timeline,
    platform: overrides.platform ?? platform
  }
  return {
    ...base,
    configuration: overrides.configuration ?? createConfigurationHolder(base),
    close: async () => {
      unsubscribe()
      await platform.close()
    }
  }
}
