/** Maintains the items that a runner has claimed: saves them, samples their event intervals, and releases those better run elsewhere. */
import { runInBackground } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import { ownClaimVersion, releaseClaim, saveProgress } from './claims'
import { medianEventIntervalMs } from './fleetEventInterval'
import { type ClaimedItem, progressOf } from './claimedItems'
import { isBetterElsewhere, hasTightDeadline } from './itemChoice'
import type { ReleaseReason } from './itemLifecycle'
import { type OrphanedClaim, orphanedClaims } from './orphanedClaims'
import type { RunnerParts, RunnerState } from './types'

/** Maintenance of claimed items, done after each poll of the engine. */
export interface ClaimMaintenance {
  /** Drops items whose claim is lost, or whose job has ended or been removed. */
  dropLostItems: () => void
  /** Releases claims in the store whose items this process does not have in hand, so that any runner may run them. */
  releaseOrphanedClaims: () => Promise<void>
  hasOrphanedClaims: () => boolean
  sampleEventIntervals: () => void
  saveRunning: () => void
  /** Releases items that are paused for too long, expired, no longer routed to the engine's service, or better run elsewhere, and all running items when the endpoint is not ready. */
  releaseUnwanted: (endpoint: Endpoint | undefined) => void
}

/** Longest pause of an item with a tight deadline before it is released to other runners. */
const TIGHT_DEADLINE_MAX_PAUSE_MS = 800

/**
 * Longest pause of any other item. A burst fills all engines alike: a released item would be saved, and claimed again by a
 * runner that has no more free slots, and during an outage of the store it could not resume at all after the burst.
 */
const MAX_PAUSE_MS = 3000

/** Event intervals of running items are sampled this often, so that a slowdown of the engine is detected within a second. */
const SAMPLE_INTERVAL_MS = 500

/** The text of running items is saved this often, so that the loss of a host costs only a resume. */
const SAVE_INTERVAL_MS = 1500

/**
 * @param parts - engine, store and work
 * @param state - items of the runner
 * @returns the maintenance
 */
export function createClaimMaintenance (parts: RunnerParts, state: Pick<RunnerState, 'claimedItems' | 'lifecycle' | 'isRouted' | 'isExpired'>): ClaimMaintenance {
  const { clock, log, runTimeEstimator } = parts
  const { claimedItems, lifecycle } = state

  /** @returns items that would be late at this engine and in time at another */
  const betterElsewhere = (): ClaimedItem[] => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined) return []
    const fleetEventIntervalMs = medianEventIntervalMs(parts.work, storeNowMs)
    return claimedItems.inState('running').filter(entry => isBetterElsewhere(
      entry.dueAtMs - storeNowMs,
      runTimeEstimator.remainingMs(entry.tokens, entry.text.lastEventId),
      runTimeEstimator.remainingMs(entry.tokens, entry.text.lastEventId, fleetEventIntervalMs)
    ))
  }

  const maxPauseMs = (entry: ClaimedItem): number => {
    const dueInMs = entry.dueAtMs - (parts.store.storeNowMs() ?? 0)
    return hasTightDeadline(dueInMs, runTimeEstimator.remainingMs(entry.tokens, entry.text.lastEventId)) ? TIGHT_DEADLINE_MAX_PAUSE_MS : MAX_PAUSE_MS
  }

  const releaseAll = (entries: ClaimedItem[], reason: ReleaseReason): void => {
    for (const entry of entries) runInBackground(log, 'release item', () => lifecycle.release(entry, reason))
  }

  const findOrphanedClaims = (): OrphanedClaim[] => orphanedClaims(parts.work, parts, claimedItems.isClaimed)

  return {
    dropLostItems: () => {
      for (const entry of [...claimedItems.inState('running'), ...claimedItems.inState('paused')]) {
        const job = parts.work.job(entry.jobId)?.record
        const claimLost = ownClaimVersion(parts, entry.jobId, entry.item) === undefined
        if (job !== undefined && !job.ended && !claimLost) continue
        log.info('item dropped', { jobId: entry.jobId, itemId: entry.itemId, reason: claimLost ? 'claim_lost' : 'job_ended' })
        claimedItems.drop(entry)
      }
    },
    hasOrphanedClaims: () => findOrphanedClaims().length > 0,
    releaseOrphanedClaims: async () => {
      const orphaned = findOrphanedClaims()
      parts.metrics.orphanedClaims.set(orphaned.length)
      await Promise.all(orphaned.map(async ({ jobId, item, itemId }) => {
        const released = await releaseClaim(parts, jobId, item, undefined)
        log.warn('orphaned claim found', { jobId, itemId, released })
      }))
    },
    sampleEventIntervals: () => {
      const nowMs = clock.nowMs()
      for (const entry of claimedItems.inState('running')) {
        if (nowMs - entry.sampledAtMs < SAMPLE_INTERVAL_MS) continue
        runTimeEstimator.onRun(entry.text.lastEventId - entry.sampledEventId, nowMs - entry.sampledAtMs)
        entry.sampledAtMs = nowMs
        entry.sampledEventId = entry.text.lastEventId
      }
    },
    saveRunning: () => {
      const nowMs = clock.nowMs()
      for (const entry of claimedItems.inState('running')) {
        if (nowMs - entry.savedAtMs < SAVE_INTERVAL_MS || entry.text.lastEventId <= entry.savedEventId) continue
        entry.savedAtMs = nowMs
        const progress = progressOf(entry)
        runInBackground(log, 'save progress', async () => {
          const saved = await saveProgress(parts, entry.jobId, entry.item, progress)
          if (saved) entry.savedEventId = progress.lastEventId
        })
      }
    },
    releaseUnwanted: endpoint => {
      const nowMs = clock.nowMs()
      if (endpoint !== undefined) releaseAll(claimedItems.inState('paused').filter(entry => !state.isRouted(entry)), 'not_routed')
      // Items are given up only while no runner holds them.
      releaseAll(claimedItems.inState('paused').filter(state.isExpired), 'expired')
      releaseAll(claimedItems.inState('paused').filter(entry => nowMs - entry.pausedAtMs > maxPauseMs(entry)), 'long_paused')
      if (endpoint?.state === 'ready') releaseAll(betterElsewhere(), 'better_elsewhere')
      else releaseAll(claimedItems.inState('running'), 'endpoint_not_ready')
    }
  }
}
