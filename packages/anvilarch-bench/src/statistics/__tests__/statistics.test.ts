import { createLatencyRecorder } from '../latencyRecorder'
import { fitLine, median, ratioSpread, spreadOf } from '../spread'

describe('createLatencyRecorder', () => {
  test('returns percentiles in milliseconds with three significant digits', () => {
    const recorder = createLatencyRecorder()
    for (let durationMs = 1; durationMs <= 1000; durationMs++) recorder.record(durationMs)
    const summary = recorder.summary()
    expect(summary.count).toBe(1000)
    expect(Math.abs(summary.p50Ms - 500)).toBeLessThan(1)
    expect(Math.abs(summary.p99Ms - 990)).toBeLessThan(2)
    expect(Math.abs(summary.maxMs - 1000)).toBeLessThan(2)
  })

  test('clamps durations to the range of the histogram', () => {
    const recorder = createLatencyRecorder()
    recorder.record(-5)
    recorder.record(1e12)
    expect(recorder.count()).toBe(2)
  })
})

describe('spreadOf', () => {
  test('returns median and range', () => {
    expect(spreadOf([3, 1, 2])).toEqual({ median: 2, min: 1, max: 3, count: 3 })
    expect(median([4, 1, 2, 3])).toBe(2.5)
  })

  test('omits values that are not finite', () => {
    expect(spreadOf([Number.NaN, 2])).toEqual({ median: 2, min: 2, max: 2, count: 1 })
    expect(spreadOf([])).toEqual({ median: 0, min: 0, max: 0, count: 0 })
  })
})

describe('ratioSpread', () => {
  test('compares each round with the baseline of the same round', () => {
    expect(ratioSpread([2, 30], [1, 10])).toEqual({ median: 2.5, min: 2, max: 3, count: 2 })
    expect(ratioSpread([2, 30], [0, 10]).count).toBe(1)
  })
})

describe('fitLine', () => {
  test('returns slope and intercept', () => {
    const line = fitLine([5, 20, 80, 320].map(x => ({ x, y: 3 + 0.5 * x })))
    expect(line.slope).toBeCloseTo(0.5)
    expect(line.intercept).toBeCloseTo(3)
    expect(line.rSquared).toBeCloseTo(1)
  })

  test('is horizontal when all x are equal', () => {
    expect(fitLine([{ x: 1, y: 2 }, { x: 1, y: 4 }])).toEqual({ slope: 0, intercept: 3, rSquared: 0 })
  })
})
