/** Latency of lookups while a large job is uploaded, run and read back through the same gateways. */
import { sleep } from 'anvilarch-utils'
import { expectedText } from 'anvilarch-standins'
import { Agent } from 'undici'
import { chatBody } from '../clients/chatClient'
import { createJobClient, type JobItem } from '../clients/jobClient'
import { readMetrics } from '../harness/fleetCounters'
import { latencyFigures, loadNotes, runLoad } from '../harness/fleetLoad'
import type { BenchFleet } from '../harness/fleetTypes'
import type { Experiment, Figures, RunContext, Variant, VariantRun } from '../harness/types'
import { type FleetSession, withFleet } from '../harness/withFleet'
import { createArrivals, steadyArrivals } from '../load/arrivals'
import { createCollector } from '../load/collector'
import { barsByFigure } from '../plots/resultPlots'
import { createLatencyRecorder, type LatencyRecorder } from '../statistics/latencyRecorder'

const LOOKUPS_PER_SECOND = 200
const TOKENS = 2
/** Items for each second of the run; `--seconds 4550` gives a job of 910,000 items. */
const ITEMS_PER_SECOND = 200
/** Short steps, so that the gateways and not the engines are the bottleneck. */
const FAST_ENGINE = { baseStepMs: 2, perSequenceMs: 0.02, slots: 64 }
/** Timeout of the job as a multiple of the measured time; a job that exceeds it is reported in a note. */
const JOB_TIMEOUT_FACTOR = 4
const MS_PER_SECOND = 1000

/** Phase of the job. */
type Phase = 'upload' | 'run' | 'readBack'

const PHASES: readonly Phase[] = ['upload', 'run', 'readBack']

/** Phases with their start times. */
type PhaseLog = Array<{ phase: Phase, fromMs: number }>

export const lookup: Experiment = {
  name: 'lookup',
  question: 'Do lookups wait behind a large job that is uploaded, run and read back through the same gateways?',
  defaults: { runs: 2, seconds: 20 },
  warmUpMs: 2000,
  variants: options => [variant('no job', 0), variant('job', Math.round(options.seconds * ITEMS_PER_SECOND))],
  aims: [
    { text: 'p99 of lookups within 10% of no job', variant: 'job', figure: 'lookupP99Ms', compare: 'ratio', bound: 'at_most', limit: 1.1 },
    { text: 'every item read back once and right', variant: 'job', figure: 'itemsMissingOrWrong', compare: 'value', bound: 'at_most', limit: 0 }
  ],
  summary: ['lookupP50Ms', 'lookupP99Ms', 'lookupP999Ms', 'uploadLookupP99Ms', 'runLookupP99Ms', 'readBackLookupP99Ms', 'eventLoopDelayP99Ms', 'eventLoopDelayMaxMs', 'itemsPerSecond', 'uploadMs', 'runMs', 'readBackMs', 'itemsMissingOrWrong'],
  plots: result => [
    barsByFigure(result, { lookupP50Ms: 'p50', lookupP99Ms: 'p99', uploadLookupP99Ms: 'p99 during upload', runLookupP99Ms: 'p99 during run', readBackLookupP99Ms: 'p99 during read back' }, { name: 'latency', title: 'Lookups beside a job', yLabel: 'ms' })
  ]
}

function variant (name: string, items: number): Variant {
  return { name, settings: { items, lookupsPerSecond: LOOKUPS_PER_SECOND }, run: context => measure(context, items) }
}

async function measure (context: RunContext, items: number): Promise<VariantRun> {
  const options = { gateways: 2, models: 2, plains: 2, engine: FAST_ENGINE }
  return await withFleet(context, options, async ({ fleet, callers }) => {
    const collector = createCollector()
    const phases: PhaseLog = []
    const byPhase = Object.fromEntries(PHASES.map(phase => [phase, createLatencyRecorder()])) as Record<Phase, LatencyRecorder>
    const limitMs = context.warmUpMs + context.durationMs * (items === 0 ? 1 : JOB_TIMEOUT_FACTOR)
    const { timesMs } = createArrivals(steadyArrivals(LOOKUPS_PER_SECOND, limitMs), context.random)
    const stopping = new AbortController()
    await readMetrics(fleet.gateways)
    const job = items === 0 ? Promise.resolve({ figures: {}, notes: [] }) : runJob(context, { fleet, callers }, items, phases).finally(() => { stopping.abort() })
    const loop = await runLoad(context, {
      timesMs,
      collector,
      signal: stopping.signal,
      send: async scheduled => {
        const result = await callers.lookup(`lookup-${context.round}-${scheduled.index}`)
        const phase = phases.findLast(entry => entry.fromMs <= scheduled.intendedMs)?.phase
        if (scheduled.measured && phase !== undefined && result.outcome === 'completed') byPhase[phase].record(result.endedAtMs - scheduled.intendedMs)
        return result
      }
    })
    const metrics = await readMetrics(fleet.gateways)
    const maxOf = (name: string): number => Math.max(0, ...metrics.filter(sample => sample.name === name).map(sample => sample.value)) * MS_PER_SECOND
    const jobRun = await withTimeout(job, context)
    return {
      figures: {
        ...latencyFigures('lookup', collector.total),
        ...Object.assign({}, ...PHASES.map(phase => latencyFigures(`${phase}Lookup`, byPhase[phase]))) as Figures,
        eventLoopDelayP99Ms: maxOf('nodejs_eventloop_lag_p99_seconds'),
        eventLoopDelayMaxMs: maxOf('nodejs_eventloop_lag_max_seconds'),
        ...jobRun.figures
      },
      notes: [...loadNotes('lookup', collector, loop), ...jobRun.notes]
    }
  })
}

async function withTimeout (job: Promise<Required<VariantRun>>, context: RunContext): Promise<Required<VariantRun>> {
  const timedOut = sleep(context.clock, MS_PER_SECOND).then(() => ({ figures: {}, notes: ['the job had not ended when the run was over'] }))
  return await Promise.race([job.catch((error: Error) => ({ figures: {}, notes: [`job: ${error.message}`] })), timedOut])
}

/** Uploads and creates one job through the first gateway, then polls it and reads it back through the last one. */
async function runJob (context: RunContext, session: FleetSession, items: number, phases: PhaseLog): Promise<Required<VariantRun>> {
  const { clock } = context
  const { fleet } = session
  const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 })
  const [first, last] = [fleet.gateways[0], fleet.gateways[fleet.gateways.length - 1]].map(gateway => createJobClient({ clock, dispatcher, origin: gateway.origin }))
  const startPhase = (phase: Phase): number => {
    const fromMs = clock.nowMs()
    phases.push({ phase, fromMs })
    return fromMs
  }
  await sleep(clock, context.warmUpMs)
  const uploadStartMs = startPhase('upload')
  const fileId = await first.upload(jobItems(fleet, items))
  const runStartMs = startPhase('run')
  const job = await first.create(fileId)
  const ended = await last.waitForEnd(job.id, { timeoutMs: context.durationMs * JOB_TIMEOUT_FACTOR, pollMs: 500 })
  const readBackStartMs = startPhase('readBack')
  if (ended.status !== 'completed' || typeof ended.output_file_id !== 'string') {
    throw new Error(`the job is ${ended.status}: ${JSON.stringify(ended.request_counts)}`)
  }
  const check = await last.readResults(ended.output_file_id, customId => expectedText('/v1/chat/completions', itemBody(fleet, Number(customId.split('-')[1]))), items)
  const endMs = clock.nowMs()
  await dispatcher.destroy()
  return {
    figures: {
      items,
      itemsMissingOrWrong: check.missing + check.wrong + check.doubled,
      uploadMs: runStartMs - uploadStartMs,
      runMs: readBackStartMs - runStartMs,
      readBackMs: endMs - readBackStartMs,
      itemsPerSecond: items * MS_PER_SECOND / (readBackStartMs - runStartMs)
    },
    notes: check.right === items ? [] : [`results: ${JSON.stringify(check)}`]
  }
}

function itemBody (fleet: BenchFleet, index: number): object {
  return chatBody({ model: fleet.model, prompt: `renewal review ${index}`, maxTokens: TOKENS }, false)
}

function * jobItems (fleet: BenchFleet, count: number): Generator<JobItem> {
  for (let index = 0; index < count; index++) yield { customId: `item-${index}`, body: itemBody(fleet, index) }
}
