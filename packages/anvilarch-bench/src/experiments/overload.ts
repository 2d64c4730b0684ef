/** Load beyond the capacity of the endpoints: goodput, refusals and retries from half to three times the capacity. */
import { metricGrowth, readMetrics } from '../harness/fleetCounters'
import { latencyFigures, loadNotes, promptText, runLoad } from '../harness/fleetLoad'
import type { Experiment, RunContext, Variant, VariantRun } from '../harness/types'
import { withFleet } from '../harness/withFleet'
import { createArrivals, steadyArrivals } from '../load/arrivals'
import { resultCount, createCollector, errorCount } from '../load/collector'
import { linesBySetting } from '../plots/resultPlots'
import { QUARTER_ENGINE } from './quarterEngine'

const ENGINES = 2
const TOKENS = 24
const PROMPT_CHARACTERS = 400
const DEADLINE_MS = 3000
const FACTORS = [1, 0.5, 0.8, 1.5, 2, 3]
/** Rate at which engines of this size are full, calculated from the step time of the stand-in and rounded down. */
const CAPACITY_PER_SECOND = 34
const MS_PER_SECOND = 1000

export const overload: Experiment = {
  name: 'overload',
  question: 'What becomes of requests beyond the capacity of the endpoints?',
  defaults: { runs: 2, seconds: 8 },
  warmUpMs: 3000,
  variants: () => FACTORS.map(variant),
  aims: [
    { text: 'goodput at three times the capacity as at the capacity', variant: 'x3', figure: 'goodputPerSecond', compare: 'ratio', bound: 'at_least', limit: 0.95 },
    { text: 'retry amplification at three times the capacity', variant: 'x3', figure: 'attemptsPerRequest', compare: 'value', bound: 'at_most', limit: 1.1 },
    { text: 'every refusal says when to come back', variant: 'x3', figure: 'refusalsWithoutRetryAfter', compare: 'value', bound: 'at_most', limit: 0 },
    { text: 'no errors but refusals', variant: 'x3', figure: 'errors', compare: 'value', bound: 'at_most', limit: 0 }
  ],
  summary: ['offeredPerSecond', 'goodputPerSecond', 'refusedShare', 'refusalP50Ms', 'refusalP99Ms', 'refusalsWithoutRetryAfter', 'attemptsPerRequest', 'lateShare', 'errors', 'firstTokenP50Ms', 'firstTokenP99Ms', 'totalP99Ms'],
  plots: result => [
    linesBySetting(result, 'factor', [{ name: 'offered', figure: 'offeredPerSecond' }, { name: 'goodput', figure: 'goodputPerSecond' }], { name: 'goodput', title: 'Goodput by offered load', xLabel: 'offered load as a multiple of the capacity', yLabel: 'requests a second', xScale: 'linear', yScale: 'linear' }),
    linesBySetting(result, 'factor', [{ name: 'first token p99', figure: 'firstTokenP99Ms' }, { name: 'refusal p99', figure: 'refusalP99Ms' }], { name: 'latency', title: 'Time to the first token and to a refusal', xLabel: 'offered load as a multiple of the capacity', yLabel: 'ms', xScale: 'linear', yScale: 'linear' })
  ]
}

function variant (factor: number): Variant {
  return { name: `x${factor}`, settings: { factor, capacityPerSecond: CAPACITY_PER_SECOND, deadlineMs: DEADLINE_MS }, run: context => measure(context, factor) }
}

async function measure (context: RunContext, factor: number): Promise<VariantRun> {
  return await withFleet(context, { gateways: 2, models: ENGINES, plains: 0, engine: QUARTER_ENGINE }, async ({ fleet, callers }) => {
    const collector = createCollector()
    const { timesMs } = createArrivals(steadyArrivals(CAPACITY_PER_SECOND * factor, context.warmUpMs + context.durationMs), context.random)
    const before = await readMetrics(fleet.gateways)
    const fromMs = context.clock.nowMs() + context.warmUpMs
    // Counted by end time: requests that were queued at the end of the run and complete afterwards are not part of its throughput.
    let goodCount = 0
    let lateCount = 0
    const loop = await runLoad(context, {
      timesMs,
      collector,
      send: async scheduled => {
        const result = await callers.chat({
          requestId: `overload-${context.round}-${scheduled.index}`,
          prompt: promptText(context.random, PROMPT_CHARACTERS),
          maxTokens: TOKENS,
          headers: { 'x-deadline-ms': String(DEADLINE_MS) }
        })
        const isLate = result.endedAtMs - scheduled.intendedMs > DEADLINE_MS
        const endedInRun = result.endedAtMs >= fromMs && result.endedAtMs < fromMs + context.durationMs
        if (result.outcome === 'completed' && endedInRun && !isLate) goodCount++
        if (result.outcome === 'completed' && scheduled.measured && isLate) lateCount++
        return result
      }
    })
    const retries = metricGrowth(before, await readMetrics(fleet.gateways), 'anvilarch_retries_total')
    const seconds = context.durationMs / MS_PER_SECOND
    const offered = resultCount(collector) + loop.unfinished
    return {
      figures: {
        offeredPerSecond: offered / seconds,
        goodputPerSecond: goodCount / seconds,
        lateShare: offered === 0 ? 0 : lateCount / offered,
        refusedShare: offered === 0 ? 0 : collector.outcomes.refused / offered,
        refusalsWithoutRetryAfter: collector.refusalsWithoutRetryAfter,
        attemptsPerRequest: 1 + retries / timesMs.length,
        errors: errorCount(collector),
        ...latencyFigures('firstToken', collector.firstToken),
        ...latencyFigures('total', collector.total),
        ...latencyFigures('refusal', collector.refusal)
      },
      notes: loadNotes('chat', collector, loop)
    }
  })
}
