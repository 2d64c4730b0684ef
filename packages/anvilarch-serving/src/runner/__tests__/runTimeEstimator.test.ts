import { createRunTimeEstimator } from '../runTimeEstimator'

describe('createRunTimeEstimator', () => {
  it('estimates the remaining time from the events and tokens of completed items', () => {
    const estimator = createRunTimeEstimator()
    expect(estimator.remainingMs(2000, 0)).toBe(0)
    estimator.onRun(200, 4000)
    estimator.onItemCompleted(2000, 200)
    expect(estimator.remainingMs(2000, 0)).toBe(4000)
    expect(estimator.remainingMs(2000, 150)).toBe(1000)
    expect(estimator.remainingMs(2000, 300)).toBe(0)
    expect(estimator.remainingMs(2000, 0, 100)).toBe(20_000)
    expect(estimator.eventIntervalMs()).toBe(20)
  })

  it('ignores runs with few events', () => {
    const estimator = createRunTimeEstimator()
    estimator.onRun(2, 1000)
    estimator.onItemCompleted(100, 10)
    expect(estimator.remainingMs(100, 0)).toBe(0)
  })
})
