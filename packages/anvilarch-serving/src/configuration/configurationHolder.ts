/** Holds the newest configuration that this process has seen. */
import type { Configuration } from '../model/types'

/** The version in force, and who wants to hear of a new one. */
export interface ConfigurationHolder {
  current: () => Configuration | undefined
  /** Takes a version if it is newer. @returns whether it was taken */
  offer: (configuration: Configuration) => boolean
  onChange: (listener: (configuration: Configuration) => void) => void
}

/**
 * A version once in force is never replaced by an older one: a late answer of the store or of a peer may carry one,
 * and callers would see a route come back that was removed.
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
