import { createRunTimeEstimator } from '../runTimeEstimator'

describe('createRunTimeEstimator', () => {
  it('tells the time left from events and tokens of items that have ended', () => {
    const pace = createRunTimeEstimator()
    expect(pace.remainingMs(2000, 0)).toBe(0)
    pace.onRun(200, 4000)
    pace.onItemCompleted(2000, 200)
    expect(pace.remainingMs(2000, 0)).toBe(4000)
    expect(pace.remainingMs(2000, 150)).toBe(1000)
    expect(pace.remainingMs(2000, 300)).toBe(0)
    expect(pace.remainingMs(2000, 0, 100)).toBe(20_000)
    expect(pace.eventIntervalMs()).toBe(20)
  })

  it('learns nothing from runs of a few events', () => {
    const pace = createRunTimeEstimator()
    pace.onRun(2, 1000)
    pace.onItemCompleted(100, 10)
    expect(pace.remainingMs(100, 0)).toBe(0)
  })
})
