/** Keeps as many items running as the engine has slots to spare. */
import { runInBackground } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { EngineReport } from '../roles/types'
import type { ClaimedItem } from './claimedItems'
import { chooseItems, hasTightDeadline, itemSortKey } from './itemChoice'
import { isWorkFresh } from './itemLifecycle'
import { countToStart, countToPreempt, planBatchSlots, countUnreported } from './slotPlan'
import type { RunnerParts, RunnerState } from './types'

/** Starts and stops items. */
export interface SlotScheduler {
  /** After a look at the engine. */
  onPoll: (report: EngineReport, endpoint: Endpoint, askedAtMs: number) => void
  /** @returns whether slots were to spare at the last look for which no item was found */
  hasUnfilledSlots: () => boolean
  /** After a gateway has told of its requests, between two looks: items only stop. */
  onOnlineIncrease: (online: number, endpoint: Endpoint) => void
}

/**
 * @param parts - engine, store and work
 * @param state - items of the runner
 * @returns the balance
 */
export function createSlotScheduler (parts: RunnerParts, state: RunnerState): SlotScheduler {
  const { log } = parts
  const { claimedItems: held, lifecycle: steps, engineBackoff: engineRefusals } = state

  const remainingMsOf = (entry: ClaimedItem): number => parts.runTimeEstimator.remainingMs(entry.tokens, entry.text.lastEventId)

  const urgencyOf = (entry: ClaimedItem, storeNowMs: number): number => itemSortKey(entry.dueAtMs - storeNowMs, remainingMsOf(entry))

  let wantsItems = false
  /** When an item last gave way to a request. */
  let cutAtMs = -Infinity

  const startItems = (count: number, online: number): void => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined || !engineRefusals.mayStart()) return
    const resumable = held.inState('paused').filter(entry => entry.backoff.mayStart())
    const paused = resumable.map(entry => ({
      entry,
      sortKey: urgencyOf(entry, storeNowMs),
      tightDeadline: hasTightDeadline(entry.dueAtMs - storeNowMs, remainingMsOf(entry))
    }))
    // A claim names the incarnation of its holder, which others know by its heartbeat.
    const mayClaim = parts.work.member(parts.runner)?.record.incarnation === parts.incarnation
    const fresh = mayClaim ? chooseItems(state.choiceInput(storeNowMs), count) : []
    const chosen = [...paused, ...fresh].sort((a, b) => a.sortKey - b.sortKey).slice(0, count)
    wantsItems = chosen.length < count
    const startCount = countToStart({ count, items: chosen, online, sincePreemptionMs: parts.clock.nowMs() - cutAtMs })
    for (const next of chosen.slice(0, startCount)) {
      if ('entry' in next) {
        next.entry.state = 'claiming'
        runInBackground(log, 'resume item', () => steps.resume(next.entry))
      } else {
        runInBackground(log, 'begin item', () => steps.claimAndRun(next.job, next.item))
      }
    }
  }

  const stopItems = (count: number): void => {
    cutAtMs = parts.clock.nowMs()
    const storeNowMs = parts.store.storeNowMs() ?? 0
    const leastUrgentFirst = held.inState('running').sort((a, b) => urgencyOf(b, storeNowMs) - urgencyOf(a, storeNowMs))
    for (const entry of leastUrgentFirst.slice(0, count)) steps.pause(entry, 'online_requests')
  }

  return {
    onPoll: (report, endpoint, askedAtMs) => {
      const running = held.inState('running')
      const plan = planBatchSlots({
        slots: endpoint.slots,
        running: report.running,
        waiting: report.waiting,
        ownItems: running.length,
        ownUnreported: held.inState('claiming').length + countUnreported(running.map(entry => entry.startedAtMs), askedAtMs)
      })
      wantsItems = false
      const online = Math.max(0, report.running + report.waiting - running.length)
      if (plan.preempt > 0) stopItems(plan.preempt)
      if (plan.start > 0 && endpoint.state === 'ready' && isWorkFresh(parts)) startItems(plan.start, online)
    },
    hasUnfilledSlots: () => wantsItems,
    onOnlineIncrease: (online, endpoint) => {
      const count = countToPreempt(endpoint.slots, online, held.inState('running').length)
      if (count > 0) stopItems(count)
    }
  }
}
