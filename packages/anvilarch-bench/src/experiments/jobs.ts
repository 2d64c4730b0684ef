/** Jobs without online load: items a second, platform calls per 1,000 items, memory by job size, and the loss of a gateway with claimed parts. */
import { sleep } from 'anvilarch-utils'
import { expectedText } from 'anvilarch-standins'
import { Agent, request } from 'undici'
import { chatBody } from '../clients/chatClient'
import { createJobClient, type BatchView, type JobClient, type JobItem } from '../clients/jobClient'
import { countsBetween, type PlatformCounts, readPlatformCounts } from '../harness/fleetCounters'
import type { BenchFleet } from '../harness/fleetTypes'
import type { Experiment, Figures, RunContext, Variant, VariantRun } from '../harness/types'
import { withFleet } from '../harness/withFleet'
import { barsByFigure, linesBySetting } from '../plots/resultPlots'
import { startUsageMeasurement } from '../sampling/processSampler'

const TOKENS = 4
const FAST_ENGINE = { baseStepMs: 2, perSequenceMs: 0.02, slots: 64 }
/** Items of the smallest job for each second of `--seconds`; the larger ones, of up to 16 times the size, show how memory grows. */
const ITEMS_PER_SECOND = 300
const SIZE_FACTORS = [1, 4, 16]
const MAX_RUN_MS = 240_000
/** Time limit of a large job, for each of its items. */
const MAX_ITEM_MS = 5
const KILL_AFTER_SHARE = 0.25
const PER_THOUSAND = 1000
const MS_PER_SECOND = 1000

interface JobSettings extends Record<string, string | number | boolean> {
  gateways: number
  items: number
  killGateway: boolean
}

/** The fields of a part row that the bench reads. */
interface PartRow {
  holder?: string
  state?: string
}

export const jobs: Experiment = {
  name: 'jobs',
  question: 'How many items does a gateway carry, at what cost to the platform, and what does losing a gateway cost?',
  defaults: { runs: 1, seconds: 10 },
  warmUpMs: 0,
  variants: options => {
    const items = Math.round(options.seconds * ITEMS_PER_SECOND)
    return [
      ...SIZE_FACTORS.map(factor => variant(`one gateway with ${items * factor} items`, { gateways: 1, items: items * factor, killGateway: false })),
      variant('two gateways', { gateways: 2, items: items * 4, killGateway: false }),
      variant('gateway killed', { gateways: 2, items: items * 4, killGateway: true })
    ]
  },
  aims: [
    { text: 'every item of a job whose gateway was killed is right', variant: 'gateway killed', figure: 'itemsMissingOrWrong', compare: 'value', bound: 'at_most', limit: 0 }
  ],
  summary: ['items', 'itemsPerSecond', 'itemsPerSecondPerGateway', 'tableCommitsPer1000Items', 'tableReadsPer1000Items', 'objectPutsPer1000Items', 'objectGetsPer1000Items', 'gatewayCpuPerItemMs', 'agentCpuPerItemMs', 'gatewayPeakBytes', 'uploadMs', 'takeOverMs', 'itemsMissingOrWrong'],
  plots: result => [
    linesBySetting(result, 'items', [{ name: 'one gateway', figure: 'gatewayPeakBytes', variants: one => one.settings.gateways === 1 }], { name: 'memory', title: 'Peak memory of a gateway by the size of the job', xLabel: 'items of the job', yLabel: 'bytes', xScale: 'log', yScale: 'linear' }),
    barsByFigure(result, { tableCommitsPer1000Items: 'table commits', tableReadsPer1000Items: 'table reads and scans', objectPutsPer1000Items: 'object writes', objectGetsPer1000Items: 'object reads' }, { name: 'platform', title: 'Calls to the platform per 1,000 items', yLabel: 'calls' }),
    barsByFigure(result, { itemsPerSecond: 'items a second' }, { name: 'throughput', title: 'Batch throughput', yLabel: 'items a second' })
  ]
}

function variant (name: string, settings: JobSettings): Variant {
  return { name, settings, run: context => measure(context, settings) }
}

async function measure (context: RunContext, settings: JobSettings): Promise<VariantRun> {
  const options = { gateways: settings.gateways, models: 3, plains: 0, engine: FAST_ENGINE }
  return await withFleet(context, options, async ({ fleet }) => {
    const { clock } = context
    const dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 })
    // The bench sends to the last gateway, since the first one is killed.
    const client = createJobClient({ clock, dispatcher, origin: fleet.gateways[fleet.gateways.length - 1].origin })
    const measurement = await startUsageMeasurement(pidsOf(fleet), clock)
    const startedMs = clock.nowMs()
    const fileId = await client.upload(jobItems(fleet, settings.items))
    const uploadedMs = clock.nowMs()
    const before = await readPlatformCounts(fleet)
    const job = await client.create(fileId)
    const takeOver = settings.killGateway ? measureTakeOver(context, fleet, client, job.id, settings.items) : Promise.resolve<Figures>({})
    const ended = await client.waitForEnd(job.id, { timeoutMs: Math.max(MAX_RUN_MS, settings.items * MAX_ITEM_MS), pollMs: 100 })
    const endedMs = clock.nowMs()
    const usageByProcess = await measurement.finish()
    const counts = countsBetween(before, await readPlatformCounts(fleet))
    const check = await readBack(fleet, client, ended, settings.items)
    await dispatcher.destroy()
    const seconds = (endedMs - uploadedMs) / MS_PER_SECOND
    const sum = (role: string, pick: (usage: typeof usageByProcess[string]) => number): number => Object.entries(usageByProcess).filter(([key]) => key.startsWith(role)).reduce((total, [, one]) => total + pick(one), 0)
    return {
      figures: {
        items: settings.items,
        itemsPerSecond: settings.items / seconds,
        itemsPerSecondPerGateway: settings.items / seconds / settings.gateways,
        uploadMs: uploadedMs - startedMs,
        ...perThousandItems(counts, settings.items),
        gatewayCpuPerItemMs: sum('gateway', one => one.cpuMs) / settings.items,
        agentCpuPerItemMs: sum('agent', one => one.cpuMs) / settings.items,
        gatewayPeakBytes: Math.max(...Object.entries(usageByProcess).filter(([key]) => key.startsWith('gateway')).map(([, one]) => one.peakResidentBytes)),
        ...await takeOver,
        ...check.figures
      },
      notes: check.notes
    }
  })
}

function perThousandItems (counts: PlatformCounts, items: number): Figures {
  const thousands = items / PER_THOUSAND
  return {
    tableCommitsPer1000Items: counts.tableCommits / thousands,
    tableReadsPer1000Items: (counts.tableReads + counts.tableScans) / thousands,
    objectPutsPer1000Items: counts.objectPuts / thousands,
    objectGetsPer1000Items: (counts.objectGets + counts.objectLists) / thousands
  }
}

async function readBack (fleet: BenchFleet, client: JobClient, ended: BatchView, items: number): Promise<Required<VariantRun>> {
  if (ended.status !== 'completed' || typeof ended.output_file_id !== 'string') {
    return { figures: {}, notes: [`the job is ${ended.status}: ${JSON.stringify(ended.request_counts)}`] }
  }
  const check = await client.readResults(ended.output_file_id, customId => expectedText('/v1/chat/completions', itemBody(fleet, Number(customId.split('-')[1]))), items)
  const notes = check.right === items ? [] : [`results: ${JSON.stringify(check)}`]
  return { figures: { itemsMissingOrWrong: check.missing + check.wrong + check.doubled }, notes }
}

/** Kills the first gateway while it has claimed parts, and waits until other gateways have taken over all of them. */
async function measureTakeOver (context: RunContext, fleet: BenchFleet, client: JobClient, jobId: string, items: number): Promise<Figures> {
  const { clock } = context
  const killedGateway = fleet.gateways[0]
  let done = 0
  while (done < items * KILL_AFTER_SHARE) {
    await sleep(clock, 100)
    const view = await client.get(jobId)
    if (view.status === 'completed') return {}
    done = view.request_counts?.completed ?? 0
  }
  fleet.local.kill(killedGateway.name, 'SIGKILL')
  const killedMs = clock.nowMs()
  const claimedAtKill = await countClaimedParts(fleet, jobId, killedGateway.name)
  while (clock.nowMs() - killedMs < MAX_RUN_MS) {
    if (await countClaimedParts(fleet, jobId, killedGateway.name) === 0) return { partsHeldAtKill: claimedAtKill, takeOverMs: clock.nowMs() - killedMs }
    await sleep(clock, 100)
  }
  return { partsHeldAtKill: claimedAtKill }
}

async function countClaimedParts (fleet: BenchFleet, jobId: string, gateway: string): Promise<number> {
  const response = await request(`${fleet.table.url}/v1/scan`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ prefix: `part/${jobId}/`, limit: 10_000 }) })
  const { rows } = await response.body.json() as { rows: Array<{ value: string }> }
  return rows.map(row => JSON.parse(row.value) as PartRow).filter(part => part.state !== 'done' && part.holder?.startsWith(gateway) === true).length
}

function pidsOf (fleet: BenchFleet): Record<string, number> {
  const entries = [...fleet.gateways.map(gateway => [`gateway ${gateway.name}`, gateway.pid]), ...fleet.agents.map(agent => [`agent ${agent.name}`, agent.pid])]
  return Object.fromEntries(entries) as Record<string, number>
}

function itemBody (fleet: BenchFleet, index: number): object {
  return chatBody({ model: fleet.model, prompt: `audit report ${index}`, maxTokens: TOKENS }, false)
}

function * jobItems (fleet: BenchFleet, count: number): Generator<JobItem> {
  for (let index = 0; index < count; index++) yield { customId: `item-${index}`, body: itemBody(fleet, index) }
}
