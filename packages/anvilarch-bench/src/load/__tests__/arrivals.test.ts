import { createRandom } from 'anvilarch-utils'
import { createArrivals, steadyArrivals } from '../arrivals'

describe('createArrivals', () => {
  test('generates the same times from the same seed', () => {
    const options = steadyArrivals(50, 2000)
    expect(createArrivals(options, createRandom(7))).toEqual(createArrivals(options, createRandom(7)))
    expect(createArrivals(options, createRandom(7))).not.toEqual(createArrivals(options, createRandom(8)))
  })

  test('generates about as many arrivals as the rate implies, in ascending order', () => {
    const { timesMs } = createArrivals(steadyArrivals(100, 100_000), createRandom(1))
    expect(timesMs.length).toBeGreaterThan(9_600)
    expect(timesMs.length).toBeLessThan(10_400)
    expect(timesMs).toEqual([...timesMs].sort((left, right) => left - right))
  })

  test('generates no arrivals in idle phases and repeats the cycle', () => {
    const phases = [{ durationMs: 1000, ratePerSecond: 0 }, { durationMs: 1000, ratePerSecond: 200 }]
    const { timesMs } = createArrivals({ phases, durationMs: 10_000 }, createRandom(3))
    expect(timesMs.some(timeMs => Math.floor(timeMs / 1000) % 2 === 0)).toBe(false)
    expect(timesMs.some(timeMs => timeMs > 9000)).toBe(true)
  })

  test('varies the duration of phases within the given share', () => {
    const phases = [{ durationMs: 1000, ratePerSecond: 1 }]
    const generated = createArrivals({ phases, durationMs: 30_000, phaseJitterShare: 0.3 }, createRandom(3)).phases
    expect(generated.every(phase => phase.durationMs >= 700 && phase.durationMs <= 1300)).toBe(true)
    expect(new Set(generated.map(phase => phase.durationMs)).size).toBeGreaterThan(5)
  })
})
