/** Keeps as many items running as the engine has spare slots. */
import { runInBackground } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { EngineReport } from '../roles/types'
import type { ClaimedItem } from './claimedItems'
import { chooseItems, hasTightDeadline, itemSortKey } from './itemChoice'
import { hasRecentStoreResponse } from './itemLifecycle'
import { countToStart, countToPreempt, planBatchSlots, countUnreported } from './slotPlan'
import type { RunnerParts, RunnerState } from './types'

/** Starts and preempts items. */
export interface SlotScheduler {
  /** Starts or preempts items after a poll of the engine. */
  onPoll: (report: EngineReport, endpoint: Endpoint, reportRequestedAtMs: number) => void
  /** @returns whether there were spare slots at the last poll for which no item was found */
  hasUnfilledSlots: () => boolean
  /** Preempts items, and starts none, when a gateway reports more requests between two polls. */
  onOnlineIncrease: (online: number, endpoint: Endpoint) => void
}

/**
 * @param parts - engine, store and work
 * @param state - items of the runner
 * @returns the scheduler
 */
export function createSlotScheduler (parts: RunnerParts, state: RunnerState): SlotScheduler {
  const { log } = parts
  const { claimedItems, lifecycle, engineBackoff } = state

  const remainingMsOf = (entry: ClaimedItem): number => parts.runTimeEstimator.remainingMs(entry.tokens, entry.text.lastEventId)

  const sortKeyOf = (entry: ClaimedItem, storeNowMs: number): number => itemSortKey({ dueInMs: entry.dueAtMs - storeNowMs, expiresInMs: entry.expiresAtMs - storeNowMs, remainingMs: remainingMsOf(entry) })

  let hasUnfilledSlots = false
  /** Time at which an item was last preempted for a request. */
  let lastPreemptionAtMs = -Infinity

  const startItems = (count: number, online: number): void => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined || !engineBackoff.mayStart()) return
    const resumable = claimedItems.inState('paused').filter(entry => entry.backoff.mayStart() && state.isRouted(entry) && !state.isExpired(entry))
    const paused = resumable.map(entry => ({
      entry,
      sortKey: sortKeyOf(entry, storeNowMs),
      tightDeadline: hasTightDeadline(entry.dueAtMs - storeNowMs, remainingMsOf(entry))
    }))
    // A claim names the incarnation of its holder, which other runners compare with the holder's heartbeat.
    const mayClaim = parts.work.member(parts.runner)?.record.incarnation === parts.incarnation
    const unclaimed = mayClaim ? chooseItems(state.choiceInput(storeNowMs), count) : []
    const chosen = [...paused, ...unclaimed].sort((a, b) => a.sortKey - b.sortKey).slice(0, count)
    hasUnfilledSlots = chosen.length < count
    const startCount = countToStart({ count, items: chosen, online, sincePreemptionMs: parts.clock.nowMs() - lastPreemptionAtMs })
    for (const next of chosen.slice(0, startCount)) {
      if ('entry' in next) {
        next.entry.state = 'claiming'
        runInBackground(log, 'resume item', () => lifecycle.resume(next.entry))
      } else {
        runInBackground(log, 'begin item', () => lifecycle.claimAndRun(next.job, next.item))
      }
    }
  }

  const preemptItems = (count: number): void => {
    lastPreemptionAtMs = parts.clock.nowMs()
    const storeNowMs = parts.store.storeNowMs() ?? 0
    const leastUrgentFirst = claimedItems.inState('running').sort((a, b) => sortKeyOf(b, storeNowMs) - sortKeyOf(a, storeNowMs))
    for (const entry of leastUrgentFirst.slice(0, count)) lifecycle.pause(entry, 'online_requests')
  }

  return {
    onPoll: (report, endpoint, reportRequestedAtMs) => {
      const running = claimedItems.inState('running')
      const plan = planBatchSlots({
        slots: endpoint.slots,
        running: report.running,
        waiting: report.waiting,
        ownItems: running.length,
        ownUnreported: claimedItems.inState('claiming').length + countUnreported(running.map(entry => entry.startedAtMs), reportRequestedAtMs)
      })
      hasUnfilledSlots = false
      const online = Math.max(0, report.running + report.waiting - running.length)
      if (plan.preempt > 0) preemptItems(plan.preempt)
      if (plan.start > 0 && endpoint.state === 'ready' && hasRecentStoreResponse(parts)) startItems(plan.start, online)
    },
    hasUnfilledSlots: () => hasUnfilledSlots,
    onOnlineIncrease: (online, endpoint) => {
      const count = countToPreempt(endpoint.slots, online, claimedItems.inState('running').length)
      if (count > 0) preemptItems(count)
    }
  }
}
