/** Stores the configuration that is in force at this daemon. */
import { invariant } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { parseOffer } from './parseOffer'
import type { ConfigurationHolder, VersionedConfiguration } from './types'

/** Shared parts of the daemon that the holder needs. */
export type HolderContext = Pick<DaemonContext, 'logger' | 'metrics' | 'timeline'>

/**
 * Delayed and reordered messages contain old versions, and a peer that was disconnected may offer one from an hour ago. Going back
 * to an old version would reject callers by limits that were raised, or remove new routes. So only higher versions are accepted.
 *
 * @param context - logger, metrics and timeline
 * @returns a holder without a configuration
 */
export function createConfigurationHolder (context: HolderContext): ConfigurationHolder {
  const listeners = new Set<(configuration: VersionedConfiguration) => void>()
  let current: VersionedConfiguration | undefined

  const replace = (next: VersionedConfiguration): void => {
    const before = current?.version ?? 0
    current = next
    invariant(current.version > before, 'configuration_version_grows', () => `version went from ${before} to ${next.version}`)
    context.metrics.configurationVersion.set(next.version)
    context.timeline.record('configuration.applied', { detail: { version: next.version, hash: next.hash } })
    // Copied, since a listener that adds itself again would make the iteration of the set endless.
    for (const listener of [...listeners]) listener(next)
  }

  return {
    current: () => current,
    version: () => current?.version ?? 0,
    offer: offered => {
      if (offered.version <= (current?.version ?? 0)) return 'not_newer'
      const parsed = parseOffer(offered)
      if (!parsed.ok) {
        context.logger.error('a configuration was offered that can not be used', { version: offered.version, reason: parsed.reason })
        return 'invalid'
      }
      replace({ version: offered.version, hash: offered.hash, document: parsed.document, documentJson: offered.documentJson })
      return 'applied'
    },
    onChange: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
