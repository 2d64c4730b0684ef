/** A modelled engine with its agent: slots, a queue in order of arrival, and batch items in spare slots. */
import type { Clock, Timer } from 'anvilarch-utils'
import { countToStart, hasTightDeadline, countToPreempt, planBatchSlots } from 'anvilarch-serving'
import type { ModelBacklog, ModelItem, ModelRequest } from './types'

/** A modelled engine. */
export interface ModelEngine {
  /** The agent has received the notice of a request that was sent to its engine. */
  onNotice: () => void
  onRequest: (request: ModelRequest) => void
  online: () => number
  batchRunning: () => number
  counts: { itemsDone: number, itemsInTime: number, preemptions: number }
}

/** Options of `createModelEngine`. */
export interface ModelEngineOptions {
  clock: Clock
  slots: number
  backlog: ModelBacklog
}

/** Interval at which an agent polls an engine with batch work, between the shortest and the longest interval of the daemon. */
const POLL_INTERVAL_MS = 80

/** Time to prefill the prompt and the text of an item again when it resumes: about 600 tokens at 44 a millisecond. */
const REPEATED_PREFILL_MS = 14

interface RunningItem {
  item: ModelItem
  startedAtMs: number
  end: Timer
}

/**
 * @param options - clock, slots and batch work
 * @returns a running engine
 */
export function createModelEngine (options: ModelEngineOptions): ModelEngine {
  const { clock, slots, backlog } = options
  const counts = { itemsDone: 0, itemsInTime: 0, preemptions: 0 }
  const queue: ModelRequest[] = []
  const items: RunningItem[] = []
  let runningOnline = 0
  /** Requests that the agent has a notice of and that have not arrived yet. */
  let announced = 0
  let preemptedAtMs = -Infinity

  const startRequests = (): void => {
    while (queue.length > 0 && runningOnline + items.length < slots) {
      const request = queue.shift() as ModelRequest
      runningOnline++
      clock.after(request.promptMs, request.onFirstEvent)
      clock.after(request.promptMs + request.eventsMs, () => {
        runningOnline--
        request.onEnd()
        startRequests()
      })
    }
  }

  const startItem = (item: ModelItem): void => {
    const running: RunningItem = {
      item,
      startedAtMs: clock.nowMs(),
      end: clock.after(REPEATED_PREFILL_MS + item.remainingMs, () => {
        items.splice(items.indexOf(running), 1)
        counts.itemsDone++
        if (clock.nowMs() <= item.dueAtMs) counts.itemsInTime++
        startRequests()
      })
    }
    items.push(running)
  }

  const preemptItems = (count: number): void => {
    if (count > 0) preemptedAtMs = clock.nowMs()
    for (const running of items.splice(items.length - count, count)) {
      running.end.cancel()
      const ranMs = Math.max(0, clock.nowMs() - running.startedAtMs - REPEATED_PREFILL_MS)
      running.item.remainingMs = Math.max(0, running.item.remainingMs - ranMs)
      backlog.add(running.item)
      counts.preemptions++
    }
  }

  const online = (): number => runningOnline + queue.length + announced

  const poll = (): void => {
    const plan = planBatchSlots({ slots, running: runningOnline + items.length, waiting: queue.length, ownItems: items.length, ownUnreported: 0 })
    preemptItems(plan.preempt)
    const first = backlog.first(plan.start)
    const candidates = first.map(item => ({ tightDeadline: hasTightDeadline(item.dueAtMs - clock.nowMs(), item.remainingMs) }))
    const count = countToStart({ count: plan.start, items: candidates, online: online(), sincePreemptionMs: clock.nowMs() - preemptedAtMs })
    for (const item of first.slice(0, count)) {
      backlog.remove(item)
      startItem(item)
    }
    startRequests()
    clock.after(POLL_INTERVAL_MS, poll)
  }
  poll()

  return {
    onNotice: () => {
      announced++
      preemptItems(countToPreempt(slots, online(), items.length))
    },
    onRequest: request => {
      announced--
      queue.push(request)
      startRequests()
    },
    online,
    batchRunning: () => items.length,
    counts
  }
}
