/** Origins of recent streams, by the id of the client attempt that began them. */
import type { Clock } from 'anvilarch-utils'
import type { StreamOrigin } from './types'

/** Origins of the streams of this gateway, and of others for which it keeps them. */
export interface OriginTable {
  record: (requestId: string, origin: StreamOrigin) => void
  find: (requestId: string) => StreamOrigin | undefined
  size: () => number
}

/** Limit on the number of origins, about 200 bytes each. The oldest is evicted first. */
export const MAX_ORIGINS = 20_000

interface Entry {
  origin: StreamOrigin
  recordedAtMs: number
}

/**
 * @param clock - local clock
 * @param retentionMs - returns how long an origin is kept
 * @returns an empty table
 */
export function createOriginTable (clock: Clock, retentionMs: () => number): OriginTable {
  // Ordered by time, since an origin that is recorded again moves to the end.
  const entries = new Map<string, Entry>()

  const isExpired = (entry: Entry): boolean => clock.nowMs() - entry.recordedAtMs > retentionMs()

  const evict = (): void => {
    for (const [requestId, entry] of entries) {
      if (entries.size <= MAX_ORIGINS && !isExpired(entry)) return
      entries.delete(requestId)
    }
  }

  return {
    record: (requestId, origin) => {
      entries.delete(requestId)
      entries.set(requestId, { origin, recordedAtMs: clock.nowMs() })
      evict()
    },
    find: requestId => {
      const entry = entries.get(requestId)
      return entry === undefined || isExpired(entry) ? undefined : entry.origin
    },
    size: () => entries.size
  }
}
