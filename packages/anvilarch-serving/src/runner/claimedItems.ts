/** The items that a runner holds, and those that it leaves to others for a while. */
import type { Clock } from 'anvilarch-utils'
import type { JobRecord } from '../jobs/types'
import type { Attempt } from '../requests/runAttempt'
import type { ServingMetrics } from '../telemetry/metrics'
import type { ItemText } from './itemRun'
import { createStartBackoff, type StartBackoff } from './startBackoff'

/**
 * `claiming`: on the way into a run. `paused`: held without a run. `finishing`: ended, not yet in the store.
 * `saving`: its text is being written before the item is let go.
 */
export type ClaimedItemState = 'claiming' | 'running' | 'paused' | 'finishing' | 'saving'

/** An item that this process holds or is about to. */
export interface ClaimedItem {
  jobId: string
  /** Place of the item in its job. */
  item: number
  itemId: string
  tokens: number
  /** Store time at which the item is due. */
  dueAtMs: number
  state: ClaimedItemState
  text: ItemText
  /** Last event whose text the store has. */
  savedEventId: number
  savedAtMs: number
  /** When it was last paused; a run that its engine ended without an event leaves this as it is. */
  pausedAtMs: number
  startedAtMs: number
  /** Up to where the pace of this run has been learned. */
  sampledAtMs: number
  sampledEventId: number
  /** Sends of this item that made no event. */
  backoff: StartBackoff
  run?: Attempt
}

/** All of them. */
export interface ClaimedItems {
  add: (job: JobRecord, item: number) => ClaimedItem
  /** Ends the run and forgets the item. */
  drop: (entry: ClaimedItem) => void
  /** Leaves the item to other runners for a while. */
  startCooldown: (entry: ClaimedItem) => void
  isClaimedOrCoolingDown: (jobId: string, item: number) => boolean
  all: () => ClaimedItem[]
  inState: (state: ClaimedItemState) => ClaimedItem[]
}

/** An item that could not be claimed or run is left to others for this long. */
const LEAVE_MS = 300

/**
 * @param clock - local clock
 * @param metrics - shows how many are held
 * @returns no items
 */
export function createClaimedItems (clock: Clock, metrics: ServingMetrics): ClaimedItems {
  const held = new Map<string, ClaimedItem>()
  const leftUntilMs = new Map<string, number>()
  const idOf = (jobId: string, item: number): string => `${jobId}/${item}`
  const sweepLeft = (nowMs: number): void => {
    for (const [id, untilMs] of leftUntilMs) if (untilMs <= nowMs) leftUntilMs.delete(id)
  }
  return {
    add: (job, item) => {
      const nowMs = clock.nowMs()
      const entry: ClaimedItem = {
        jobId: job.jobId,
        item,
        itemId: job.itemIds[item],
        tokens: job.itemTokens[item],
        dueAtMs: job.dueAtMs,
        state: 'claiming',
        text: { lastEventId: 0, eventData: [] },
        savedEventId: 0,
        savedAtMs: nowMs,
        pausedAtMs: nowMs,
        startedAtMs: nowMs,
        sampledAtMs: nowMs,
        sampledEventId: 0,
        backoff: createStartBackoff(clock)
      }
      held.set(idOf(entry.jobId, item), entry)
      metrics.itemsInHand.set(held.size)
      return entry
    },
    drop: entry => {
      entry.run?.abort()
      held.delete(idOf(entry.jobId, entry.item))
      metrics.itemsInHand.set(held.size)
    },
    startCooldown: entry => {
      const nowMs = clock.nowMs()
      sweepLeft(nowMs)
      leftUntilMs.set(idOf(entry.jobId, entry.item), nowMs + LEAVE_MS)
    },
    isClaimedOrCoolingDown: (jobId, item) => {
      const id = idOf(jobId, item)
      return held.has(id) || (leftUntilMs.get(id) ?? -Infinity) > clock.nowMs()
    },
    all: () => [...held.values()],
    inState: state => [...held.values()].filter(entry => entry.state === state)
  }
}

/** @returns the text of an item so far, as it is saved */
export function progressOf (entry: ClaimedItem): { lastEventId: number, text: string } {
  return { lastEventId: entry.text.lastEventId, text: entry.text.eventData.join('\n') }
}
