/** Looks after the items that a runner holds: saves them, learns from them, and lets go of those better run elsewhere. */
import { runInBackground } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import { ownClaimVersion, saveProgress } from './claims'
import { medianEventIntervalMs } from './fleetEventInterval'
import { type ClaimedItem, progressOf } from './claimedItems'
import { isBetterElsewhere, hasTightDeadline } from './itemChoice'
import type { ReleaseReason } from './itemLifecycle'
import type { RunnerParts, RunnerState } from './types'

/** What is done for held items after each look at the engine. */
export interface ClaimMaintenance {
  /** Ends what is no longer this runner's or no longer wanted. */
  dropLostItems: () => void
  sampleEventIntervals: () => void
  saveRunning: () => void
  /** Lets go of what waits too long, of what is better run elsewhere, and of all when the endpoint leaves. */
  releaseUnwanted: (endpoint: Endpoint | undefined) => void
}

/** A paused item that cannot wait stays with its engine for this long before others may take it. */
const PRESSING_HOLD_MS = 800

/**
 * One that can wait stays for this long. A burst fills all engines alike: let go, the item would be saved and claimed anew, by a
 * runner that has no more room, and with the store away it could not go on at all when the burst is over.
 */
const PATIENT_HOLD_MS = 3000

/** Pace is learned from runs in progress this often, so that an engine that turns slow is noticed within a second. */
const PACE_INTERVAL_MS = 500

/** Running items save what they have this often, so that a lost host costs a resume. */
const SAVE_INTERVAL_MS = 1500

/**
 * @param parts - engine, store and work
 * @param state - items of the runner
 * @returns the care
 */
export function createClaimMaintenance (parts: RunnerParts, state: Pick<RunnerState, 'claimedItems' | 'lifecycle'>): ClaimMaintenance {
  const { clock, log, runTimeEstimator: pace } = parts
  const { claimedItems: held, lifecycle: steps } = state

  /** Items that would be late at this engine and in time at another. */
  const betterElsewhere = (): ClaimedItem[] => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined) return []
    const eventMs = medianEventIntervalMs(parts.work, storeNowMs)
    return held.inState('running').filter(entry => isBetterElsewhere(
      entry.dueAtMs - storeNowMs,
      pace.remainingMs(entry.tokens, entry.text.lastEventId),
      pace.remainingMs(entry.tokens, entry.text.lastEventId, eventMs)
    ))
  }

  const holdMs = (entry: ClaimedItem): number => {
    const dueInMs = entry.dueAtMs - (parts.store.storeNowMs() ?? 0)
    return hasTightDeadline(dueInMs, pace.remainingMs(entry.tokens, entry.text.lastEventId)) ? PRESSING_HOLD_MS : PATIENT_HOLD_MS
  }

  const releaseAll = (entries: ClaimedItem[], reason: ReleaseReason): void => {
    for (const entry of entries) runInBackground(log, 'release item', () => steps.release(entry, reason))
  }

  return {
    dropLostItems: () => {
      for (const entry of [...held.inState('running'), ...held.inState('paused')]) {
        const job = parts.work.job(entry.jobId)?.record
        const lost = ownClaimVersion(parts, entry.jobId, entry.item) === undefined
        if (job !== undefined && !job.ended && !lost) continue
        log.info('item dropped', { jobId: entry.jobId, itemId: entry.itemId, reason: lost ? 'claim_lost' : 'job_ended' })
        held.drop(entry)
      }
    },
    sampleEventIntervals: () => {
      const nowMs = clock.nowMs()
      for (const entry of held.inState('running')) {
        if (nowMs - entry.sampledAtMs < PACE_INTERVAL_MS) continue
        pace.onRun(entry.text.lastEventId - entry.sampledEventId, nowMs - entry.sampledAtMs)
        entry.sampledAtMs = nowMs
        entry.sampledEventId = entry.text.lastEventId
      }
    },
    saveRunning: () => {
      const nowMs = clock.nowMs()
      for (const entry of held.inState('running')) {
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
      releaseAll(held.inState('paused').filter(entry => nowMs - entry.pausedAtMs > holdMs(entry)), 'long_paused')
      if (endpoint?.state === 'ready') releaseAll(betterElsewhere(), 'better_elsewhere')
      else releaseAll(held.inState('running'), 'endpoint_not_ready')
    }
  }
}
