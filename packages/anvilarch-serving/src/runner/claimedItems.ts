/** The items that a runner has claimed, and those that it leaves to other runners during a cooldown. */
import type { Clock } from 'anvilarch-utils'
import type { SavedProgress } from '../jobs/jobRows'
import type { JobRecord } from '../jobs/types'
import type { Attempt } from '../requests/runAttempt'
import type { ServingMetrics } from '../telemetry/metrics'
import type { ItemText } from './itemRun'
import { createStartBackoff, type StartBackoff } from './startBackoff'

/**
 * `claiming`: being claimed or resumed, before its run starts. `paused`: claimed without a run. `finishing`: ended, but its
 * outcome is not yet in the store. `saving`: its text is being written before the item is released.
 */
export type ClaimedItemState = 'claiming' | 'running' | 'paused' | 'finishing' | 'saving'

/** An item that this process has claimed or is claiming. */
export interface ClaimedItem {
  jobId: string
  /** Index of the item in its job. */
  item: number
  itemId: string
  tokens: number
  /** Store time at which the item is due. */
  dueAtMs: number
  /** Time of the store from which the item may be given up. */
  expiresAtMs: number
  state: ClaimedItemState
  text: ItemText
  /** Last event whose text the store has. */
  savedEventId: number
  savedAtMs: number
  /** Time of the last pause; a run that the engine ended without an event does not change it. */
  pausedAtMs: number
  startedAtMs: number
  /** Time and event up to which the event interval of this run has been sampled. */
  sampledAtMs: number
  sampledEventId: number
  /** Backoff for starts of this item. */
  backoff: StartBackoff
  run?: Attempt
}

/** The claimed items of a runner. */
export interface ClaimedItems {
  add: (job: JobRecord, item: number) => ClaimedItem
  /** Aborts the run and removes the item. */
  drop: (entry: ClaimedItem) => void
  /** Leaves the item to other runners for the cooldown. */
  startCooldown: (entry: ClaimedItem) => void
  isClaimed: (jobId: string, item: number) => boolean
  isClaimedOrCoolingDown: (jobId: string, item: number) => boolean
  all: () => ClaimedItem[]
  inState: (state: ClaimedItemState) => ClaimedItem[]
}

/** An item that was released, or could not be claimed or run, is left to other runners for this long. */
const COOLDOWN_MS = 300

/**
 * @param clock - local clock
 * @param metrics - receives the number of claimed items
 * @returns an empty collection
 */
export function createClaimedItems (clock: Clock, metrics: ServingMetrics): ClaimedItems {
  const claimed = new Map<string, ClaimedItem>()
  const cooldownUntilMs = new Map<string, number>()
  const idOf = (jobId: string, item: number): string => `${jobId}/${item}`
  const removeExpiredCooldowns = (nowMs: number): void => {
    for (const [id, untilMs] of cooldownUntilMs) if (untilMs <= nowMs) cooldownUntilMs.delete(id)
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
        expiresAtMs: job.expiresAtMs,
        state: 'claiming',
        text: emptyText(),
        savedEventId: 0,
        savedAtMs: nowMs,
        pausedAtMs: nowMs,
        startedAtMs: nowMs,
        sampledAtMs: nowMs,
        sampledEventId: 0,
        backoff: createStartBackoff(clock)
      }
      claimed.set(idOf(entry.jobId, item), entry)
      metrics.itemsInHand.set(claimed.size)
      return entry
    },
    drop: entry => {
      entry.run?.abort()
      claimed.delete(idOf(entry.jobId, entry.item))
      metrics.itemsInHand.set(claimed.size)
    },
    startCooldown: entry => {
      const nowMs = clock.nowMs()
      removeExpiredCooldowns(nowMs)
      cooldownUntilMs.set(idOf(entry.jobId, entry.item), nowMs + COOLDOWN_MS)
    },
    isClaimed: (jobId, item) => claimed.has(idOf(jobId, item)),
    isClaimedOrCoolingDown: (jobId, item) => {
      const id = idOf(jobId, item)
      return claimed.has(id) || (cooldownUntilMs.get(id) ?? -Infinity) > clock.nowMs()
    },
    all: () => [...claimed.values()],
    inState: state => [...claimed.values()].filter(entry => entry.state === state)
  }
}

/** @returns the text of an item so far, in the form in which it is saved */
export function progressOf ({ text }: ClaimedItem): SavedProgress {
  return { lastEventId: text.lastEventId, text: text.eventData.join('\n'), softwareVersion: text.softwareVersion }
}

/** @returns the text of an item that has not run */
export function emptyText (): ItemText {
  return { lastEventId: 0, eventData: [], softwareVersion: undefined }
}
