/** The items of a leased part that wait to be run: fresh ones in file order, and ones put off until a time. */
import { type RunHistory, NO_RUNS } from './itemAttempts'
import { hasItem, itemSetFromText } from './itemSet'
import type { PartRow } from './rows'

/** An item that was put off. */
interface Deferred {
  index: number
  untilMs: number
}

/** The waiting items of one part. */
export interface ItemQueue {
  /** @returns the next item that may be run now, without taking it */
  peek: (nowMs: number) => number | undefined
  /** Takes an item that `peek` gave. */
  take: (index: number) => void
  /** Puts an item back until a time. */
  defer: (index: number, untilMs: number) => void
  /** Items that wait, whether they may be run now or not. */
  waiting: () => number
  history: (index: number) => RunHistory
  setHistory: (index: number, history: RunHistory) => void
}

/**
 * @param row - the part as leased; items that are done are left out
 * @returns the queue of its other items
 */
export function createItemQueue (row: PartRow): ItemQueue {
  const done = itemSetFromText(row.done)
  const deferred: Deferred[] = []
  const histories = new Map<number, RunHistory>()
  let next = 0
  let unstarted = row.items - row.completed - row.failed

  const skipDone = (): void => {
    while (next < row.items && hasItem(done, next)) next++
  }
  const dueAt = (nowMs: number): Deferred | undefined => deferred.find(entry => entry.untilMs <= nowMs)

  return {
    peek: nowMs => {
      skipDone()
      const due = dueAt(nowMs)
      if (due !== undefined) return due.index
      return next < row.items ? next : undefined
    },
    take: index => {
      const position = deferred.findIndex(entry => entry.index === index)
      if (position >= 0) {
        deferred.splice(position, 1)
        return
      }
      next = index + 1
      unstarted -= 1
    },
    defer: (index, untilMs) => { deferred.push({ index, untilMs }) },
    waiting: () => unstarted + deferred.length,
    history: index => histories.get(index) ?? NO_RUNS,
    setHistory: (index, history) => { histories.set(index, history) }
  }
}
