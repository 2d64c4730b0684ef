/** Rejects requests before any configuration is in force. */
import { AnvilarchError } from 'anvilarch-utils'
import type { VersionedConfiguration } from '../configuration/types'
import type { DaemonContext } from '../context'

/** A new gateway receives a configuration within a few polls. */
const NOT_READY_RETRY_AFTER_MS = 1_000

/**
 * @param context - shared parts of the gateway
 * @returns the configuration in force
 * @throws AnvilarchError with code `not_ready` if there is none yet
 */
export function requireConfiguration (context: DaemonContext): VersionedConfiguration {
  const current = context.configuration.current()
  if (current !== undefined) return current
  throw new AnvilarchError('no configuration is in force yet at this gateway; apply one with "anvilarch config apply"', {
    code: 'not_ready', step: 'callers.configuration', peer: context.settings.name, retryAfterMs: NOT_READY_RETRY_AFTER_MS
  })
}
