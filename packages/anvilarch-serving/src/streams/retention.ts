/** How long the origins of streams matter. Pure. */
import type { Configuration } from '../model/types'

/** Applies until there is a configuration. */
const DEFAULT_RETENTION_MS = 30_000

/** A client resumes a stream within its time limit, and the request that resumes it may last as long again. */
const ATTEMPT_DURATIONS = 2

/**
 * @param configuration - configuration in force
 * @returns time from the beginning of a stream after which no client resumes it, in milliseconds
 */
export function originRetentionMs (configuration: Configuration | undefined): number {
  const timeoutsMs = configuration?.routes.filter(route => route.kind === 'stream').map(route => route.timeoutMs) ?? []
  return timeoutsMs.length === 0 ? DEFAULT_RETENTION_MS : ATTEMPT_DURATIONS * Math.max(...timeoutsMs)
}
