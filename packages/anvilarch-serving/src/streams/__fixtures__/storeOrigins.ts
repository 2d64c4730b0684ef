/** Alternative that keeps origins in rows of the store, for comparisons. Rows of streams that begin within an interval are written together. */
import type { Clock } from 'anvilarch-utils'
import type { MetadataStore, RowWrite } from '../../store/types'
import type { KnownVersions } from '../knownVersions'
import { createOriginTable } from '../originTable'
import type { StreamOrigins } from '../streamOrigins'
import type { StreamOrigin } from '../types'

const ORIGIN_TABLE = 'stream-origins'

/** Streams that begin within this interval are written in one transaction. */
export const GROUP_MS = 50

/** Options of `createStoreOrigins`. */
export interface StoreOriginsOptions {
  clock: Clock
  store: MetadataStore
  versions: KnownVersions
  retentionMs: () => number
}

/**
 * @param options - store and versions
 * @returns origins in the store
 */
export function createStoreOrigins ({ clock, store, versions, retentionMs }: StoreOriginsOptions): StreamOrigins {
  const table = createOriginTable(clock, retentionMs)
  let pending: RowWrite[] = []

  const flush = (): void => {
    const puts = pending
    pending = []
    // A write that fails is not repeated: the streams have ended or broken by then.
    store.commit({ conditions: [], puts, removes: [] }).catch(() => {})
  }

  return {
    resolve: async (requestId, services) => {
      const recorded = requestId === undefined ? undefined : table.find(requestId)
      if (recorded !== undefined) return { resolution: 'bound', origin: recorded }
      const singleVersions = await versions.singleVersions(services)
      if (singleVersions !== undefined) return { resolution: 'single', versions: singleVersions }
      const read = requestId === undefined ? undefined : await store.readRows({ table: ORIGIN_TABLE, partition: '', from: requestId, to: `${requestId}\u0001` })
      const row = read?.ok === true ? read.val.rows.find(candidate => candidate.key === requestId) : undefined
      return row === undefined ? { resolution: 'unknown' } : { resolution: 'bound', origin: JSON.parse(row.value.toString()) as StreamOrigin }
    },
    onStarted: (requestId, origin) => {
      table.record(requestId, origin)
      if (!versions.mayBeSeveral(origin.service)) return
      if (pending.length === 0) clock.after(GROUP_MS, flush)
      pending.push({ table: ORIGIN_TABLE, partition: '', key: requestId, value: Buffer.from(JSON.stringify(origin)) })
    },
    onEnded: () => {},
    onMessage: () => {}
  }
}
