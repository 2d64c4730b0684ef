import { createRandom } from 'anvilarch-utils'
import { createZipfSampler } from '../affinity'
import { hitFigures } from '../loss'
import { EXPERIMENTS } from '../registry'

describe('EXPERIMENTS', () => {
  test('aims refer to existing variants, and names of variants are unique', () => {
    for (const experiment of EXPERIMENTS.values()) {
      const names = experiment.variants({ seed: 1, ...experiment.defaults }).map(variant => variant.name)
      expect(new Set(names).size).toBe(names.length)
      for (const aim of experiment.aims) expect(names).toContain(aim.variant)
    }
  })

  test('contains the experiments of the measurements page', () => {
    expect([...EXPERIMENTS.keys()].sort()).toEqual(['affinity', 'configuration', 'control', 'jobs', 'limits', 'logCost', 'lookup', 'loss', 'mix', 'overhead', 'overload', 'placement'])
  })
})

describe('hitFigures', () => {
  const requestOf = (intendedMs: number, durationMs: number, outcome: 'completed' | 'failed' = 'completed'): Parameters<typeof hitFigures>[0][number] => ({ intendedMs, durationMs, outcome })

  test('finds the last request that was slow or failed after the fault', () => {
    const requests = [requestOf(0, 10), requestOf(10, 10), requestOf(20, 10), requestOf(95, 200), requestOf(300, 10), requestOf(400, 11, 'failed'), requestOf(500, 12)]
    expect(hitFigures(requests, 100)).toEqual({ hitRequests: 2, lastHitAfterMs: 300 })
  })

  test('is zero when no request was hit, and empty without a request before the fault', () => {
    expect(hitFigures([requestOf(0, 10), requestOf(200, 10)], 100)).toEqual({ hitRequests: 0, lastHitAfterMs: 0 })
    expect(hitFigures([requestOf(200, 10)], 100)).toEqual({})
  })
})

describe('createZipfSampler', () => {
  test('returns every rank, and low ranks more often', () => {
    const random = createRandom(1)
    const sampleRank = createZipfSampler(4, 1)
    const counts = [0, 0, 0, 0]
    for (let index = 0; index < 4000; index++) counts[sampleRank(random)]++
    expect(counts).toEqual([...counts].sort((left, right) => right - left))
    expect(Math.min(...counts)).toBeGreaterThan(300)
  })
})
