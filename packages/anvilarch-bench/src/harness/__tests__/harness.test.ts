import { mkdtemp, readFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createFakeClock } from 'anvilarch-utils'
import { linesBySetting } from '../../plots/resultPlots'
import { markdownSummary } from '../../report/markdownSummary'
import { writeReport } from '../../report/writeReport'
import { readResults, writeResult } from '../resultStore'
import { runExperiment } from '../runExperiment'
import { countEvents, describeEvents } from '../slowestRequest'
import { evaluateAim, summariseFigures } from '../summarise'
import { aimText, figureText, summaryTable } from '../summaryTable'
import type { Experiment, ExperimentResult, RecordedRun } from '../types'

const run = (round: number, figures: Record<string, number>): RecordedRun => ({ round, loadAverage: 0, figures })

const order: string[] = []
const variant = (name: string, peers: number, figureMs: (random: number) => number): ReturnType<Experiment['variants']>[number] => ({
  name,
  settings: { peers },
  run: async context => {
    order.push(`${context.round}${name}`)
    return { figures: { figureMs: figureMs(context.random.next()) } }
  }
})
const experiment: Experiment = {
  name: 'sample',
  question: 'Is a < b?',
  defaults: { runs: 2, seconds: 1 },
  warmUpMs: 0,
  variants: () => [
    variant('base', 1, random => 10 + random),
    variant('other', 2, random => 20 + 2 * random),
    { name: 'broken', settings: { peers: 3 }, run: async () => { throw new Error('no fleet <here>') } }
  ],
  aims: [{ text: 'other within 1.5', variant: 'other', figure: 'figureMs', compare: 'ratio', bound: 'at_most', limit: 1.5 }],
  summary: ['figureMs'],
  plots: result => [linesBySetting(result, 'peers', [{ name: 'time', figure: 'figureMs' }], { name: 'time', title: 't', xLabel: 'x', yLabel: 'y', xScale: 'linear', yScale: 'linear' })]
}

async function runSample (): Promise<{ result: ExperimentResult, directory: string }> {
  const directory = await mkdtemp(join(tmpdir(), 'anvilarch-bench-test-'))
  order.length = 0
  const result = await runExperiment(experiment, { seed: 1, runs: 2, seconds: 1, clock: createFakeClock(), directory, commit: 'test', log: () => {} })
  return { result, directory }
}

describe('runExperiment', () => {
  test('gives all variants of a round the same random numbers and rotates their order', async () => {
    const { result } = await runSample()
    expect(order).toEqual(['0base', '0other', '1other', '1base'])
    expect(result.variants[1].figures.figureMs.ratio).toEqual({ median: 2, min: 2, max: 2, count: 2 })
    expect(result.aims[0]).toMatchObject({ verdict: 'missed', measured: 2 })
  })

  test('records a failed run with its error and continues', async () => {
    const { result } = await runSample()
    expect(result.variants[2].runs.map(failed => failed.error)).toEqual(['no fleet <here>', 'no fleet <here>'])
    expect(result.variants[2].figures).toEqual({})
  })
})

describe('summariseFigures', () => {
  test('pairs rounds by number and omits rounds in which either run failed', () => {
    const summary = summariseFigures([run(0, { a: 4 }), run(2, { a: 9 })], [run(0, { a: 2 }), run(1, { a: 1 }), run(2, {})])
    expect(summary.a).toEqual({ median: 6.5, min: 4, max: 9, count: 2, ratio: { median: 2, min: 2, max: 2, count: 1 } })
  })
})

describe('evaluateAim', () => {
  test('does not report an aim as met without a measured figure', () => {
    const aim = { text: '', variant: 'x', figure: 'a', compare: 'value', bound: 'at_least', limit: 1 } as const
    expect(evaluateAim(aim, []).verdict).toBe('not_measured')
  })
})

describe('summaryTable', () => {
  test('shows median, range and ratio, and a dash without a measured figure', async () => {
    const { result } = await runSample()
    expect(summaryTable(result)).toContain('×2')
    expect(figureText(undefined)).toBe('–')
    expect(aimText(result.aims[0])).toContain('MISSED')
  })
})

describe('writeReport', () => {
  test('writes plots, failed runs and the command to one page without external links', async () => {
    const { result, directory } = await runSample()
    const files = await writeResult(directory, result, experiment.plots(result))
    expect(files).toEqual(['sample.json', 'sample-time.svg'])
    expect((await readResults(directory)).get('sample')?.seed).toBe(1)
    const { path } = await writeReport(directory, ['absent', 'sample'])
    const page = await readFile(path, 'utf8')
    expect(page).toContain('<svg')
    expect(page).toContain('no fleet &lt;here&gt;')
    expect(page).toContain('npm run bench -- sample --seed 1')
    expect(page.replaceAll('http://www.w3.org/2000/svg', '')).not.toMatch(/https?:\/\//)
  })
})

describe('describeEvents', () => {
  test('orders events of several processes, with times relative to the first', () => {
    const events = [{ atMs: 1020, process: 'agent-1', event: 'started' }, { atMs: 1000, process: 'gateway-1', event: 'received', detail: { class: 'online' } }]
    expect(describeEvents(events)).toBe('+0 gateway-1 received (class online), +20 agent-1 started')
  })
})

describe('countEvents', () => {
  test('counts by event and by the class that the attempt was accepted with', () => {
    const events = [
      { event: 'attempts.accepted', attemptId: 'a', detail: { class: 'batch' } },
      { event: 'attempts.preempted', attemptId: 'a' },
      { event: 'attempts.preempted', attemptId: 'b' },
      { event: 'agent.draining' }
    ]
    expect(countEvents(events)).toBe('1 attempts.accepted batch, 1 attempts.preempted batch, 1 attempts.preempted earlier, 1 agent.draining')
  })
})

describe('markdownSummary', () => {
  test('shows figures, missed aims and failed runs', async () => {
    const { result } = await runSample()
    const text = markdownSummary([result])
    expect(text).toContain('| `figureMs` |')
    expect(text).toContain('- MISSED other within 1.5')
    expect(text).toContain('- broken, round 1: run failed, no fleet <here>')
  })
})
