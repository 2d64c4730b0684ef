import type { ExperimentResult, VariantResult } from '../../harness/types'
import { capacityText } from '../capacityText'
import { estimateAt, measured, sum, times } from '../capacityValues'

const variant = (name: string, settings: VariantResult['settings'], figures: Record<string, number>): VariantResult => ({
  name,
  isBaseline: false,
  settings,
  runs: [],
  figures: Object.fromEntries(Object.entries(figures).map(([figure, value]) => [figure, { median: value, min: value, max: value, count: 1 }]))
})

const environment = { startedAt: 'then', endedAt: 'then', commit: 'abc', nodeVersion: 'v20', cores: 1, memoryBytes: 1, loadAverageBefore: 1, loadAverageAfter: 1 }
const resultOf = (experiment: string, variants: VariantResult[]): [string, ExperimentResult] =>
  [experiment, { formatVersion: 1, experiment, question: '', command: `npm run bench -- ${experiment}`, environment, variants, aims: [], summary: [], seed: 1, runs: 1, seconds: 1 }]

const results = new Map([
  resultOf('control', [variant('a', { peers: 5 }, { gatewayIdleCpuShare: 0.01 }), variant('b', { peers: 105 }, { gatewayIdleCpuShare: 0.02 })]),
  resultOf('overhead', [variant('through', {}, { gatewayCpuPerLookupMs: 2 })])
])

describe('estimateAt', () => {
  test('estimates a figure at a size that was not measured', () => {
    expect(estimateAt(results, 'control', 'peers', 'gatewayIdleCpuShare', 305).value).toBeCloseTo(0.04)
  })

  test('is undefined with a single measured size', () => {
    expect(estimateAt(results, 'overhead', 'peers', 'gatewayCpuPerLookupMs', 3).value).toBeUndefined()
  })
})

describe('sum', () => {
  test('is undefined when one of the values is', () => {
    const known = measured(results, 'overhead', 'through', 'gatewayCpuPerLookupMs')
    expect(times(sum(known, known), 2).value).toBe(8)
    expect(sum(known, measured(results, 'overhead', 'through', 'absent')).value).toBeUndefined()
  })
})

describe('capacityText', () => {
  test('states the source of each figure and marks assumed and missing values and exceeded budgets', () => {
    const text = capacityText(results)
    expect(text).toContain('**1.9: broken** | control: gatewayIdleCpuShare, line over 5, 105 peers')
    expect(text).toContain('| assumed |')
    expect(text).toContain('not measured')
    expect(text).toContain('overhead: gatewayCpuPerLookupMs')
    expect(text).toContain('### The table is down for ten minutes at the peak')
  })

  test('has no figure without a source', () => {
    const rows = capacityText(results).split('\n').filter(line => line.startsWith('| ') && !line.startsWith('| what'))
    expect(rows.length).toBeGreaterThan(30)
    expect(rows.filter(row => row.split(' | ')[4].trim() === '')).toEqual([])
  })
})
