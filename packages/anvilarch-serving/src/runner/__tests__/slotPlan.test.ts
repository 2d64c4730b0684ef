import { countToStart, planBatchSlots, RESERVED_SLOTS, countUnreported } from '../slotPlan'

describe('planBatchSlots', () => {
  it('fills all slots except the reserved ones', () => {
    expect(planBatchSlots({ slots: 8, running: 2, waiting: 0, ownItems: 0, ownUnreported: 0 })).toEqual({ start: 6 - RESERVED_SLOTS, preempt: 0 })
  })

  it('counts items that the report does not show yet', () => {
    expect(planBatchSlots({ slots: 8, running: 2, waiting: 0, ownItems: 5, ownUnreported: 5 })).toEqual({ start: 0, preempt: 0 })
  })

  it('preempts items for waiting requests and restores the reserve', () => {
    expect(planBatchSlots({ slots: 8, running: 8, waiting: 2, ownItems: 5, ownUnreported: 0 })).toEqual({ start: 0, preempt: 3 })
  })

  it('preempts no more items than there are', () => {
    expect(planBatchSlots({ slots: 8, running: 8, waiting: 20, ownItems: 2, ownUnreported: 0 })).toEqual({ start: 0, preempt: 2 })
  })

  // Guards against items being preempted right after their start although no request waits.
  it('does not preempt items that it may have counted twice', () => {
    expect(planBatchSlots({ slots: 4, running: 3, waiting: 0, ownItems: 3, ownUnreported: 3 })).toEqual({ start: 0, preempt: 0 })
  })

  it('neither starts nor preempts items when only the reserve is free', () => {
    expect(planBatchSlots({ slots: 8, running: 7, waiting: 0, ownItems: 4, ownUnreported: 0 })).toEqual({ start: 0, preempt: 0 })
  })
})

describe('countUnreported', () => {
  // Guards against an item being started and preempted again at each poll of the engine, some twenty times a second.
  it('counts an item only until a report can show it', () => {
    expect(countUnreported([100, 990, 996], 1000)).toBe(2)
    expect(countUnreported([950], 1000)).toBe(0)
  })
})

describe('countToStart', () => {
  const canWait = { tightDeadline: false }
  const cannotWait = { tightDeadline: true }

  // Guards against four preempted runs for each completed one, while the engines have spare slots on average.
  it('leaves the last slot to items with a tight deadline while requests preempt items', () => {
    expect(countToStart({ count: 3, items: [canWait, canWait, canWait, canWait], online: 2, sincePreemptionMs: 100 })).toBe(2)
    expect(countToStart({ count: 1, items: [canWait], online: 2, sincePreemptionMs: 100 })).toBe(0)
    expect(countToStart({ count: 1, items: [cannotWait, canWait], online: 2, sincePreemptionMs: 100 })).toBe(1)
    expect(countToStart({ count: 3, items: [cannotWait, cannotWait, cannotWait, canWait], online: 2, sincePreemptionMs: 100 })).toBe(3)
  })

  it('fills all spare slots when no item has been preempted for a while', () => {
    expect(countToStart({ count: 3, items: [canWait, canWait, canWait, canWait], online: 2, sincePreemptionMs: 5000 })).toBe(3)
  })

  it('fills all spare slots when there are no more requests', () => {
    expect(countToStart({ count: 3, items: [canWait, canWait, canWait], online: 0, sincePreemptionMs: 100 })).toBe(3)
  })

  it('starts no more items than there are', () => {
    expect(countToStart({ count: 5, items: [canWait, canWait], online: 2, sincePreemptionMs: Infinity })).toBe(2)
    expect(countToStart({ count: 0, items: [cannotWait], online: 2, sincePreemptionMs: 0 })).toBe(0)
  })
})
