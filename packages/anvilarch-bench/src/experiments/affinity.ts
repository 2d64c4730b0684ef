/** Requests with shared prompt prefixes: how often an endpoint has the prefix cached, by routing policy. */
import type { Random } from 'anvilarch-utils'
import type { EngineLedger } from 'anvilarch-standins'
import { getJson } from '../harness/fleetCounters'
import { latencyFigures, loadNotes, promptText, runLoad } from '../harness/fleetLoad'
import type { Experiment, RunContext, Variant, VariantRun } from '../harness/types'
import { withFleet } from '../harness/withFleet'
import { createArrivals, steadyArrivals } from '../load/arrivals'
import { createCollector } from '../load/collector'
import { barsByFigure } from '../plots/resultPlots'

const ENGINES = 4
const REQUESTS_PER_SECOND = 30
const TOKENS = 8
const PREFIXES = 40
/** About 1,000 tokens, the size of typical shared instructions. */
const PREFIX_CHARACTERS = 4000
const QUESTION_CHARACTERS = 200
/** Holds about a third of all prefixes: not all of them, but more than an engine's share of a quarter. */
const CACHE_TOKENS = 16_000
const ENDLESS_CACHE_TOKENS = 10_000_000
/** Exponent of the Zipf distribution of the prefixes, as in traces of shared prompts. */
const ZIPF_EXPONENT = 0.7

type Policy = 'random' | 'round_robin' | 'least_reported_load' | 'affinity'

export const affinity: Experiment = {
  name: 'affinity',
  question: 'How often does an endpoint have the shared start of a prompt cached, by routing policy?',
  defaults: { runs: 2, seconds: 10 },
  warmUpMs: 4000,
  variants: () => [
    variant('random', 'random', CACHE_TOKENS),
    variant('round robin', 'round_robin', CACHE_TOKENS),
    variant('least reported load', 'least_reported_load', CACHE_TOKENS),
    variant('affinity', 'affinity', CACHE_TOKENS),
    variant('best possible', 'affinity', ENDLESS_CACHE_TOKENS)
  ],
  aims: [
    { text: 'affinity halves the median first token against random', variant: 'affinity', figure: 'firstTokenP50Ms', compare: 'ratio', bound: 'at_most', limit: 0.5 }
  ],
  summary: ['hitShare', 'firstTokenP50Ms', 'firstTokenP95Ms', 'firstTokenP99Ms', 'interTokenP99Ms', 'largestEndpointShare'],
  plots: result => [
    barsByFigure(result, { hitShare: 'share of prompt tokens found cached' }, { name: 'hits', title: 'Prefix cache hits by routing policy', yLabel: 'share' }),
    barsByFigure(result, { firstTokenP50Ms: 'p50', firstTokenP95Ms: 'p95', firstTokenP99Ms: 'p99' }, { name: 'first-token', title: 'First token by routing policy', yLabel: 'ms' })
  ]
}

function variant (name: string, routingPolicy: Policy, cacheTokens: number): Variant {
  return { name, settings: { routingPolicy, cacheTokens }, run: context => measure(context, routingPolicy, cacheTokens) }
}

async function measure (context: RunContext, routingPolicy: Policy, cacheTokens: number): Promise<VariantRun> {
  const options = { gateways: 2, models: ENGINES, plains: 0, engine: { cacheTokens }, gateway: { routingPolicy } }
  return await withFleet(context, options, async ({ fleet, callers }) => {
    const prefixes = Array.from({ length: PREFIXES }, () => promptText(context.random, PREFIX_CHARACTERS))
    const sampleRank = createZipfSampler(PREFIXES, ZIPF_EXPONENT)
    const collector = createCollector()
    const { timesMs } = createArrivals(steadyArrivals(REQUESTS_PER_SECOND, context.warmUpMs + context.durationMs), context.random)
    const requests = timesMs.map((_timeMs, index) => ({
      requestId: `affinity-${context.round}-${index}`,
      system: prefixes[sampleRank(context.random)],
      prompt: promptText(context.random, QUESTION_CHARACTERS),
      maxTokens: TOKENS
    }))
    const loop = await runLoad(context, { timesMs, collector, send: scheduled => callers.chat(requests[scheduled.index]) })
    const counts = await Promise.all(fleet.agents.map(async agent => await countExecutions(agent.endpoint.url)))
    const total = counts.reduce((sum, count) => sum + count, 0)
    return {
      figures: {
        hitShare: collector.promptTokens === 0 ? 0 : collector.cachedTokens / collector.promptTokens,
        largestEndpointShare: total === 0 ? 0 : Math.max(...counts) / total,
        ...latencyFigures('firstToken', collector.firstToken),
        ...latencyFigures('interToken', collector.interToken)
      },
      notes: loadNotes('chat', collector, loop)
    }
  })
}

async function countExecutions (url: string): Promise<number> {
  return (await getJson<EngineLedger>(`${url}/ledger`)).executions.length
}

/**
 * @param count - how many ranks
 * @param exponent - popularity is the rank to minus this power
 * @returns a function that returns random ranks from 0
 */
export function createZipfSampler (count: number, exponent: number): (random: Random) => number {
  const weights = Array.from({ length: count }, (_, rank) => (rank + 1) ** -exponent)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return random => {
    let remaining = random.next() * total
    const rank = weights.findIndex(weight => {
      remaining -= weight
      return remaining < 0
    })
    return rank < 0 ? count - 1 : rank
  }
}
