/** The items of a leased part that wait to be run: unstarted items in file order, and items deferred until a time. */
import { type RunHistory, NO_RUNS } from './itemAttempts'
import { hasItem, itemSetFromText } from './itemSet'
import type { PartRow } from './rows'

/** A deferred item. */
interface Deferred {
  index: number
  untilMs: number
}

/** The waiting items of one part. */
export interface ItemQueue {
  /** @returns the next item that may be run now, without removing it */
  peek: (nowMs: number) => number | undefined
  /** Removes an item that `peek` returned. */
  take: (index: number) => void
  /** Puts an item back, to be run no earlier than a time. */
  defer: (index: number, untilMs: number) => void
  /** Number of waiting items, including those that may not be run yet. */
  waiting: () => number
  history: (index: number) => RunHistory
  setHistory: (index: number, history: RunHistory) => void
}

/**
 * @param row - part row as committed by the claim
 * @returns queue of the items that are not done
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
