import { countToStart, planBatchSlots, RESERVED_SLOTS, countUnreported } from '../slotPlan'

describe('planBatchSlots', () => {
  it('fills all slots but the reserved ones', () => {
    expect(planBatchSlots({ slots: 8, running: 2, waiting: 0, ownItems: 0, ownUnreported: 0 })).toEqual({ start: 6 - RESERVED_SLOTS, preempt: 0 })
  })

  it('counts items that the report does not show yet', () => {
    expect(planBatchSlots({ slots: 8, running: 2, waiting: 0, ownItems: 5, ownUnreported: 5 })).toEqual({ start: 0, preempt: 0 })
  })

  it('gives way to requests that wait and restores the reserve', () => {
    expect(planBatchSlots({ slots: 8, running: 8, waiting: 2, ownItems: 5, ownUnreported: 0 })).toEqual({ start: 0, preempt: 3 })
  })

  it('stops no more than there is', () => {
    expect(planBatchSlots({ slots: 8, running: 8, waiting: 20, ownItems: 2, ownUnreported: 0 })).toEqual({ start: 0, preempt: 2 })
  })

  // Guards against this: items are broken off right after their start, though no request waits.
  it('does not stop what it may have counted twice', () => {
    expect(planBatchSlots({ slots: 4, running: 3, waiting: 0, ownItems: 3, ownUnreported: 3 })).toEqual({ start: 0, preempt: 0 })
  })

  it('neither starts nor stops with just the reserve free', () => {
    expect(planBatchSlots({ slots: 8, running: 7, waiting: 0, ownItems: 4, ownUnreported: 0 })).toEqual({ start: 0, preempt: 0 })
  })
})

describe('countUnreported', () => {
  // Guards against this: an item is started and broken off again at each look at the engine, some twenty times a second.
  it('counts an item only until a report can show it', () => {
    expect(countUnreported([100, 990, 996], 1000)).toBe(2)
    expect(countUnreported([950], 1000)).toBe(0)
  })
})

describe('countToStart', () => {
  const patient = { tightDeadline: false }
  const pressing = { tightDeadline: true }

  // Guards against this: four runs of items are cut for each one that is done, while the engines have slots to spare on average.
  it('leaves the last slot to items that cannot wait while requests take slots from items', () => {
    expect(countToStart({ count: 3, items: [patient, patient, patient, patient], online: 2, sincePreemptionMs: 100 })).toBe(2)
    expect(countToStart({ count: 1, items: [patient], online: 2, sincePreemptionMs: 100 })).toBe(0)
    expect(countToStart({ count: 1, items: [pressing, patient], online: 2, sincePreemptionMs: 100 })).toBe(1)
    expect(countToStart({ count: 3, items: [pressing, pressing, pressing, patient], online: 2, sincePreemptionMs: 100 })).toBe(3)
  })

  it('fills all slots to spare when no request has taken one for a while', () => {
    expect(countToStart({ count: 3, items: [patient, patient, patient, patient], online: 2, sincePreemptionMs: 5000 })).toBe(3)
  })

  it('fills all slots to spare when the requests are gone', () => {
    expect(countToStart({ count: 3, items: [patient, patient, patient], online: 0, sincePreemptionMs: 100 })).toBe(3)
  })

  it('starts no more than there is', () => {
    expect(countToStart({ count: 5, items: [patient, patient], online: 2, sincePreemptionMs: Infinity })).toBe(2)
    expect(countToStart({ count: 0, items: [pressing], online: 2, sincePreemptionMs: 0 })).toBe(0)
  })
})
