/** Load of each endpoint: the last report received from it, and what this gateway has sent since. */
import type { EndpointLoad, WorkClass } from 'anvilarch-protocol'
import type { LoadEstimate } from './types'

/** Load counts by endpoint key. */
export interface LoadTable {
  estimate: (key: string, workClass: WorkClass) => LoadEstimate
  noteReport: (key: string, load: EndpointLoad) => void
  noteSent: (key: string, workClass: WorkClass) => void
  noteResponded: (key: string, workClass: WorkClass) => void
  noteEnded: (key: string, workClass: WorkClass) => void
  /** Removes endpoints that are not listed and have no requests of this gateway in progress. */
  retain: (keys: ReadonlySet<string>) => void
}

/** Batch requests are counted apart from the urgent classes, since each has its own slots at the agent. */
type SlotClass = 'urgent' | 'batch'

interface Counts {
  /** Sent without a response so far, so not in any report yet. */
  pending: Record<SlotClass, number>
  /** Sent and not ended yet. */
  inProgress: Record<SlotClass, number>
  report: EndpointLoad | undefined
}

const SLOT_CLASSES: Record<WorkClass, SlotClass> = { lookup: 'urgent', online: 'urgent', batch: 'batch' }

/** @returns an empty table */
export function createLoadTable (): LoadTable {
  const table = new Map<string, Counts>()

  const getOrCreateCounts = (key: string): Counts => {
    let counts = table.get(key)
    if (counts === undefined) {
      counts = { pending: { urgent: 0, batch: 0 }, inProgress: { urgent: 0, batch: 0 }, report: undefined }
      table.set(key, counts)
    }
    return counts
  }

  return {
    estimate: (key, workClass) => {
      const counts = table.get(key)
      if (counts === undefined) return { requests: 0, free: undefined }
      const slotClass = SLOT_CLASSES[workClass]
      const { report } = counts
      if (report === undefined) return { requests: counts.inProgress[slotClass], free: undefined }
      const running = slotClass === 'batch' ? report.runningBatch : report.runningOnline + report.queued
      const free = slotClass === 'batch' ? report.freeBatch : report.freeOnline
      return { requests: running + counts.pending[slotClass], free: free - counts.pending[slotClass] }
    },
    noteReport: (key, load) => { getOrCreateCounts(key).report = load },
    noteSent: (key, workClass) => {
      const counts = getOrCreateCounts(key)
      counts.pending[SLOT_CLASSES[workClass]]++
      counts.inProgress[SLOT_CLASSES[workClass]]++
    },
    noteResponded: (key, workClass) => { getOrCreateCounts(key).pending[SLOT_CLASSES[workClass]]-- },
    noteEnded: (key, workClass) => { getOrCreateCounts(key).inProgress[SLOT_CLASSES[workClass]]-- },
    retain: keys => {
      for (const [key, counts] of table) {
        const busy = counts.inProgress.urgent + counts.inProgress.batch > 0
        if (!busy && !keys.has(key)) table.delete(key)
      }
    }
  }
}
