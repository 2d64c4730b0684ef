import { createRetryBudget } from '../retryBudget'

describe('createRetryBudget', () => {
  const take = (budget: ReturnType<typeof createRetryBudget>, count: number, nowMs: number): number => {
    let taken = 0
    for (let each = 0; each < count && budget.allows(nowMs); each++) {
      budget.take(nowMs)
      taken++
    }
    return taken
  }

  it('limits retries to a share of requests once the accumulated retries are used', () => {
    const budget = createRetryBudget({ percent: 10, floorPerSecond: 0, capacity: 20 })
    expect(take(budget, 1_000, 0)).toBe(20)
    for (let each = 0; each < 100; each++) budget.noteRequest(1_000)
    expect(take(budget, 1_000, 1_000)).toBeGreaterThanOrEqual(9)
    expect(budget.allows(1_000)).toBe(false)
  })

  it('grows at its floor rate without any request, and never above its capacity', () => {
    const budget = createRetryBudget({ percent: 10, floorPerSecond: 5, capacity: 20 })
    take(budget, 20, 0)
    expect(take(budget, 1_000, 2_000)).toBe(10)
    expect(take(budget, 1_000, 3_600_000)).toBe(20)
  })

  it('allows taking from an empty budget', () => {
    const budget = createRetryBudget({ percent: 10, floorPerSecond: 0, capacity: 1 })
    budget.take(0)
    budget.take(0)
    expect(budget.allows(0)).toBe(false)
  })
})
