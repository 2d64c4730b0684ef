/** Selects the adapter to the platform. */
import type { DaemonSettings } from 'anvilarch-configuration'
import type { PlatformPorts } from 'anvilarch-protocol'
import type { Clock } from 'anvilarch-utils'
import type { Metrics } from '../metrics/types'
import { createHttpPlatform } from './http/createHttpPlatform'

/** Options of an adapter. */
export interface PlatformOptions {
  settings: DaemonSettings['platform']
  clock: Clock
  metrics: Pick<Metrics, 'platformCalls'>
}

/** The ports to the platform, with a method to close their connections. */
export interface Platform extends PlatformPorts {
  close: () => Promise<void>
}

/** Adapters by value of the setting `platform.adapter`. */
const ADAPTERS: Record<DaemonSettings['platform']['adapter'], (options: PlatformOptions) => Platform> = {
  http: createHttpPlatform
}

/**
 * @param options - settings, clock and metrics
 * @returns the ports to the platform
 */
export function createPlatform (options: PlatformOptions): Platform {
  return ADAPTERS[options.settings.adapter](options)
}
