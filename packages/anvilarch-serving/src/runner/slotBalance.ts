/** Keeps as many items running as the engine has slots to spare. */
import { runInBackground } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { EngineReport } from '../roles/types'
import type { HeldItem } from './heldItems'
import { chooseItems, isPressing, urgency } from './itemChoice'
import { isWorkFresh } from './itemSteps'
import { countToStart, itemsToStop, planSlack, unseenItems } from './slack'
import type { RunnerParts, RunnerState } from './types'

/** Starts and stops items. */
export interface SlotBalance {
  /** After a look at the engine. */
  onLook: (report: EngineReport, endpoint: Endpoint, askedAtMs: number) => void
  /** @returns whether slots were to spare at the last look for which no item was found */
  wantsItems: () => boolean
  /** After a gateway has told of its requests, between two looks: items only stop. */
  onOnline: (online: number, endpoint: Endpoint) => void
}

/**
 * @param parts - engine, store and work
 * @param state - items of the runner
 * @returns the balance
 */
export function createSlotBalance (parts: RunnerParts, state: RunnerState): SlotBalance {
  const { log } = parts
  const { held, steps, engineRefusals } = state

  const remainingMsOf = (entry: HeldItem): number => parts.pace.remainingMs(entry.tokens, entry.text.lastEventId)

  const urgencyOf = (entry: HeldItem, storeNowMs: number): number => urgency(entry.dueAtMs - storeNowMs, remainingMsOf(entry))

  let wantsItems = false
  /** When an item last gave way to a request. */
  let cutAtMs = -Infinity

  const startItems = (count: number, online: number): void => {
    const storeNowMs = parts.store.storeNowMs()
    if (storeNowMs === undefined || !engineRefusals.mayStart()) return
    const resumable = held.inState('paused').filter(entry => entry.refusals.mayStart())
    const paused = resumable.map(entry => ({
      entry,
      urgency: urgencyOf(entry, storeNowMs),
      pressing: isPressing(entry.dueAtMs - storeNowMs, remainingMsOf(entry))
    }))
    // A claim names the incarnation of its holder, which others know by its heartbeat.
    const mayClaim = parts.work.member(parts.runner)?.record.incarnation === parts.incarnation
    const fresh = mayClaim ? chooseItems(state.choiceInput(storeNowMs), count) : []
    const chosen = [...paused, ...fresh].sort((a, b) => a.urgency - b.urgency).slice(0, count)
    wantsItems = chosen.length < count
    const startCount = countToStart({ count, items: chosen, online, sinceCutMs: parts.clock.nowMs() - cutAtMs })
    for (const next of chosen.slice(0, startCount)) {
      if ('entry' in next) {
        next.entry.state = 'claiming'
        runInBackground(log, 'resume item', () => steps.resume(next.entry))
      } else {
        runInBackground(log, 'begin item', () => steps.begin(next.job, next.item))
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
    onLook: (report, endpoint, askedAtMs) => {
      const running = held.inState('running')
      const plan = planSlack({
        slots: endpoint.slots,
        running: report.running,
        waiting: report.waiting,
        ownItems: running.length,
        ownUnseen: held.inState('claiming').length + unseenItems(running.map(entry => entry.startedAtMs), askedAtMs)
      })
      wantsItems = false
      const online = Math.max(0, report.running + report.waiting - running.length)
      if (plan.stop > 0) stopItems(plan.stop)
      if (plan.start > 0 && endpoint.state === 'ready' && isWorkFresh(parts)) startItems(plan.start, online)
    },
    wantsItems: () => wantsItems,
    onOnline: (online, endpoint) => {
      const count = itemsToStop(endpoint.slots, online, held.inState('running').length)
      if (count > 0) stopItems(count)
    }
  }
}
