/** Holds the newest configuration that this process has received. */
import type { Configuration } from '../model/types'

/** The configuration in force and the listeners for new versions. */
export interface ConfigurationHolder {
  current: () => Configuration | undefined
  /** Applies a configuration if its version is newer. @returns whether it was applied */
  offer: (configuration: Configuration) => boolean
  /** Adds a listener. It is called immediately if there is a configuration, and then for each new version. */
  onChange: (listener: (configuration: Configuration) => void) => void
}

/**
 * Creates a holder that never replaces a version by an older one. A late response of the store or of a peer may carry an older version,
 * with which a removed route would reappear to callers.
 *
 * @returns a holder without a configuration
 */
export function createConfigurationHolder (): ConfigurationHolder {
  let current: Configuration | undefined
  const listeners: Array<(configuration: Configuration) => void> = []
  return {
    current: () => current,
    offer: configuration => {
      if (current !== undefined && configuration.version <= current.version) return false
      current = configuration
      for (const listener of listeners) listener(configuration)
      return true
    },
    onChange: listener => {
      listeners.push(listener)
      if (current !== undefined) listener(current)
    }
  }
}
