/** Batch work beside bursts of online work: throughput of the batch work and its effect on the tail latency of online work. */
import { sleep } from 'anvilarch-utils'
import type { Execution } from 'anvilarch-standins'
import { createJobClient, type JobItem } from '../clients/jobClient'
import { chatBody } from '../clients/chatClient'
import { readExecutions } from '../harness/fleetCounters'
import { latencyFigures, loadNotes, promptText, runLoad } from '../harness/fleetLoad'
import { createSlowestRequest } from '../harness/slowestRequest'
import type { BenchFleet, BenchFleetOptions } from '../harness/fleetTypes'
import type { Experiment, ExperimentResult, Figures, RunContext, Variant, VariantRun } from '../harness/types'
import { type FleetSession, withFleet } from '../harness/withFleet'
import { type Arrivals, createArrivals, type GeneratedPhase } from '../load/arrivals'
import { createCollector, errorCount } from '../load/collector'
import { barsByFigure } from '../plots/resultPlots'
import type { LinePlot } from '../plots/types'
import { createLatencyRecorder, type LatencyRecorder } from '../statistics/latencyRecorder'
import { Agent } from 'undici'
import { QUARTER_ENGINE } from './quarterEngine'
import { type LoadSample, sampleEngineLoads, yieldTimes } from './mix/batchYield'

const TOKENS = 24
const PROMPT_CHARACTERS = 400
const ENGINES = 3
/** Gaps of seconds between bursts of more than half of the capacity of the engines. */
const PHASES = [{ durationMs: 3000, ratePerSecond: 3 }, { durationMs: 1500, ratePerSecond: 30 }]
const PHASE_JITTER = 0.3
const BURST_RATE = Math.max(...PHASES.map(phase => phase.ratePerSecond))
/** Batch work has to free slots within this time; requests that arrive in it are affected the most. */
const BURST_START_MS = 300
const SLACK_SHARES = [50, 75, 90, 100]
/** More than the engines complete in a run, so that there is always batch work. */
const ITEMS_PER_SECOND = 80
const MS_PER_SECOND = 1000
const ONLINE_PREFIX = 'online-'
const DEFAULT_VARIANT = 'slack 90'

/** Part of the load cycle in which a request is sent. */
type CyclePart = 'gap' | 'burstStart' | 'burst'

/** Batch work that runs beside the online work. */
type BatchKind = 'none' | 'job' | 'as online'

interface MixSettings extends Record<string, string | number | boolean> {
  online: boolean
  batch: BatchKind
  slackSharePercent: number
}

export const mix: Experiment = {
  name: 'mix',
  question: 'How much batch work fits beside bursts of online work, and what does it do to the online tail?',
  defaults: { runs: 2, seconds: 15 },
  warmUpMs: 3000,
  variants: () => [
    variant('no batch', { online: true, batch: 'none', slackSharePercent: 90 }),
    variant('batch alone', { online: false, batch: 'job', slackSharePercent: 100 }),
    ...SLACK_SHARES.map(share => variant(`slack ${share}`, { online: true, batch: 'job', slackSharePercent: share })),
    variant('no priority', { online: true, batch: 'as online', slackSharePercent: 100 })
  ],
  derive: round => {
    const alone = round.get('batch alone')?.batchItemsPerSecond
    const online = round.get('no batch')?.onlinePerSecond
    if (alone === undefined) return
    for (const figures of round.values()) {
      if (!('batchItemsPerSecond' in figures)) continue
      figures.batchShareOfAlone = figures.batchItemsPerSecond / alone
      // Items and online requests have equally many tokens, so that each request displaces one item.
      if (online !== undefined) figures.batchShareOfSpare = figures.batchItemsPerSecond / (alone - online)
    }
  },
  aims: [
    { text: 'p99 of the online first token within 5% of no batch', variant: DEFAULT_VARIANT, figure: 'firstTokenP99Ms', compare: 'ratio', bound: 'at_most', limit: 1.05 },
    { text: 'batch takes 90% of the spare capacity', variant: DEFAULT_VARIANT, figure: 'batchShareOfSpare', compare: 'value', bound: 'at_least', limit: 0.9 }
  ],
  summary: ['batchItemsPerSecond', 'batchShareOfAlone', 'batchShareOfSpare', 'onlinePerSecond', 'firstTokenP50Ms', 'firstTokenP95Ms', 'firstTokenP99Ms', 'firstTokenP999Ms', 'gapFirstTokenP50Ms', 'gapFirstTokenP95Ms', 'burstStartFirstTokenP50Ms', 'burstStartFirstTokenP95Ms', 'burstFirstTokenP50Ms', 'burstFirstTokenP95Ms', 'interTokenP50Ms', 'interTokenP95Ms', 'interTokenP99Ms', 'interTokenP999Ms', 'batchYieldMs', 'onlineErrors'],
  plots: result => [
    tradeOffPlot(result),
    barsByFigure(result, { firstTokenP50Ms: 'first token p50', firstTokenP95Ms: 'first token p95', firstTokenP99Ms: 'first token p99', interTokenP99Ms: 'between tokens p99' }, { name: 'tail', title: 'Online latency by what runs beside it', yLabel: 'ms' })
  ]
}

function variant (name: string, settings: MixSettings): Variant {
  return { name, settings, run: context => measure(context, settings) }
}

function fleetOptions (settings: MixSettings): BenchFleetOptions {
  return {
    gateways: 2,
    models: ENGINES,
    plains: 0,
    engine: QUARTER_ENGINE,
    document: document => { document.services.assistant.batch = { firstTokenTargetMs: 1200, interTokenTargetMs: 26, slackSharePercent: settings.slackSharePercent } }
  }
}

async function measure (context: RunContext, settings: MixSettings): Promise<VariantRun> {
  return await withFleet(context, fleetOptions(settings), async session => {
    const stopping = new AbortController()
    const batchNotes = startBatch(context, session, settings.batch, stopping.signal)
    const totalMs = context.warmUpMs + context.durationMs
    const arrivals = createArrivals({ phases: PHASES, durationMs: totalMs, phaseJitterShare: PHASE_JITTER }, context.random)
    const startedWallMs = context.clock.wallMs()
    const sampling = sampleEngineLoads(session.fleet, context.clock, stopping.signal)
    const online = settings.online ? await runOnline(context, session, arrivals) : { figures: {}, notes: [] }
    await sleep(context.clock, startedWallMs + totalMs - context.clock.wallMs())
    stopping.abort()
    const executions = [...(await readExecutions(session.fleet)).values()].flat()
    const figures: Figures = { ...online.figures, ...throughput(executions, startedWallMs + context.warmUpMs, context.durationMs) }
    const samples = await sampling
    if (settings.online && settings.batch === 'job') Object.assign(figures, yieldFigures(burstsOf(arrivals.phases, context), startedWallMs, samples, executions))
    return { figures, notes: [...online.notes, ...await batchNotes] }
  })
}

/** Runs the online work. First-token times are also recorded by part of the load cycle: gap, start of a burst, rest of a burst. */
async function runOnline (context: RunContext, session: FleetSession, arrivals: Arrivals): Promise<Required<VariantRun>> {
  const collector = createCollector()
  const firstTokens: Record<CyclePart, LatencyRecorder> = { gap: createLatencyRecorder(), burstStart: createLatencyRecorder(), burst: createLatencyRecorder() }
  const slowest = createSlowestRequest()
  const loop = await runLoad(context, {
    timesMs: arrivals.timesMs,
    collector,
    send: async scheduled => {
      const requestId = `${ONLINE_PREFIX}${context.round}-${scheduled.index}`
      const result = await session.callers.chat({ requestId, prompt: promptText(context.random, PROMPT_CHARACTERS), maxTokens: TOKENS })
      if (scheduled.measured && result.firstTokenAtMs !== undefined) slowest.record(requestId, result.firstTokenAtMs - scheduled.intendedMs)
      const part = cyclePartOf(arrivals.phases, arrivals.timesMs[scheduled.index])
      if (scheduled.measured && result.firstTokenAtMs !== undefined) firstTokens[part].record(result.firstTokenAtMs - scheduled.intendedMs)
      return result
    }
  })
  const figures: Figures = {
    onlineErrors: errorCount(collector) + collector.outcomes.refused,
    ...latencyFigures('firstToken', collector.firstToken),
    ...latencyFigures('interToken', collector.interToken)
  }
  for (const [part, recorder] of Object.entries(firstTokens)) Object.assign(figures, latencyFigures(`${part}FirstToken`, recorder))
  const timeline = await slowest.describe(session.fleet)
  return { figures, notes: [...loadNotes('online', collector, loop), ...(timeline === undefined ? [] : [timeline])] }
}

function cyclePartOf (phases: readonly GeneratedPhase[], timeMs: number): CyclePart {
  const phase = phases.findLast(candidate => candidate.startMs <= timeMs)
  if (phase === undefined || phase.ratePerSecond < BURST_RATE) return 'gap'
  return timeMs - phase.startMs < BURST_START_MS ? 'burstStart' : 'burst'
}

function throughput (executions: readonly Execution[], fromMs: number, durationMs: number): Figures {
  const completed = executions.filter(({ state, endedAtMs }) => state === 'completed' && endedAtMs !== undefined && endedAtMs >= fromMs && endedAtMs < fromMs + durationMs)
  const online = completed.filter(execution => execution.requestId.startsWith(ONLINE_PREFIX)).length
  const seconds = durationMs / MS_PER_SECOND
  return { batchItemsPerSecond: (completed.length - online) / seconds, onlinePerSecond: online / seconds }
}

function burstsOf (phases: readonly GeneratedPhase[], context: RunContext): GeneratedPhase[] {
  return phases.filter(phase => phase.ratePerSecond === BURST_RATE && phase.startMs >= context.warmUpMs)
}

function yieldFigures (bursts: readonly GeneratedPhase[], startedWallMs: number, samples: readonly LoadSample[], executions: readonly Execution[]): Figures {
  const online = executions.filter(execution => execution.requestId.startsWith(ONLINE_PREFIX))
  const times = yieldTimes(bursts.map(burst => ({ fromMs: startedWallMs + burst.startMs, toMs: startedWallMs + burst.startMs + burst.durationMs })), samples, online)
  if (times.length === 0) return {}
  return { batchYieldMs: times.reduce((sum, timeMs) => sum + timeMs, 0) / times.length, batchYieldMaxMs: Math.max(...times) }
}

const BATCH_KINDS: Record<BatchKind, (context: RunContext, session: FleetSession, signal: AbortSignal) => Promise<string[]>> = {
  none: async () => [],
  job: submitJob,
  'as online': sendAsOnline
}

/** Starts batch work. The promise resolves after the signal, with notes about the batch work. */
function startBatch (context: RunContext, session: FleetSession, kind: BatchKind, signal: AbortSignal): Promise<string[]> {
  return BATCH_KINDS[kind](context, session, signal).catch((error: Error) => [`batch: ${error.message}`])
}

async function submitJob (context: RunContext, session: FleetSession, signal: AbortSignal): Promise<string[]> {
  const dispatcher = new Agent()
  const jobs = createJobClient({ clock: context.clock, dispatcher, origin: session.fleet.gateways[0].origin })
  const count = Math.ceil(ITEMS_PER_SECOND * (context.warmUpMs + context.durationMs) / MS_PER_SECOND)
  const job = await jobs.create(await jobs.upload(jobItems(context, session.fleet, count)))
  while (!signal.aborted) await sleep(context.clock, 200, signal)
  const view = await jobs.get(job.id)
  await dispatcher.destroy()
  const finished = view.request_counts?.completed ?? 0
  return finished >= count ? [`batch: all ${count} items were finished before the end of the run`] : []
}

function * jobItems (context: RunContext, fleet: BenchFleet, count: number): Generator<JobItem> {
  for (let index = 0; index < count; index++) {
    const prompt = promptText(context.random, PROMPT_CHARACTERS)
    yield { customId: `item-${index}`, body: chatBody({ model: fleet.model, prompt, maxTokens: TOKENS }, false) }
  }
}

/** Batch work without priority: sends the items as online requests, as many at a time as the engines have slots. */
async function sendAsOnline (context: RunContext, session: FleetSession, signal: AbortSignal): Promise<string[]> {
  const slots = QUARTER_ENGINE.slots * ENGINES
  let sent = 0
  const worker = async (): Promise<void> => {
    while (!signal.aborted) {
      const result = await session.callers.chat({ requestId: `flood-${context.round}-${sent++}`, prompt: promptText(context.random, PROMPT_CHARACTERS), maxTokens: TOKENS })
      if (result.outcome !== 'completed') await sleep(context.clock, result.retryAfterMs ?? 100, signal)
    }
  }
  await Promise.all(Array.from({ length: slots }, worker))
  return []
}

/** @returns a plot of the trade-off that users configure: batch throughput against the tail latency of online work */
function tradeOffPlot (result: ExperimentResult): LinePlot {
  const baseline = result.variants.find(candidate => candidate.isBaseline)?.figures.firstTokenP99Ms
  const points = result.variants
    .filter(candidate => candidate.settings.batch !== 'none' && candidate.settings.online === true && 'batchShareOfSpare' in candidate.figures && 'firstTokenP99Ms' in candidate.figures)
    .map(candidate => ({ x: candidate.figures.batchShareOfSpare.median, y: candidate.figures.firstTokenP99Ms.median, min: candidate.figures.firstTokenP99Ms.min, max: candidate.figures.firstTokenP99Ms.max, label: candidate.name }))
  const slack = points.filter(point => point.label.startsWith('slack'))
  return {
    kind: 'line',
    name: 'trade-off',
    title: 'Batch throughput against the online tail',
    xLabel: 'batch throughput as a share of the spare capacity',
    yLabel: 'first token p99, ms',
    xScale: 'linear',
    yScale: 'linear',
    series: [{ name: 'share of slack', points: slack }, { name: 'no priority', points: points.filter(point => !slack.includes(point)) }],
    ...(baseline === undefined ? {} : { limit: { value: baseline.median * 1.05, label: 'no batch + 5%' } })
  }
}
