/** CPU time, memory and network traffic of a daemon for control, idle and under load, by the number of its peers. */
import { sleep } from 'anvilarch-utils'
import { metricGrowth, readMetrics } from '../harness/fleetCounters'
import { createCallers, loadNotes, runLoad } from '../harness/fleetLoad'
import type { BenchFleet, BenchFleetOptions } from '../harness/fleetTypes'
import { openFleet } from '../harness/openFleet'
import type { Experiment, ExperimentResult, Figures, RunContext, Variant, VariantRun } from '../harness/types'
import { createArrivals, steadyArrivals } from '../load/arrivals'
import { createCollector } from '../load/collector'
import { type BenchChild, startChild } from '../peers/childProcess'
import type { LightGatewayStats } from '../peers/lightGateways'
import { linesBySetting } from '../plots/resultPlots'
import type { Plot } from '../plots/types'
import type { MetricSample } from '../sampling/metricsReader'
import { type ByteRelay, startByteRelay } from '../sampling/byteRelay'
import { type ProcessUsage, startUsageMeasurement } from '../sampling/processSampler'
import { addLightAgents, type LightAgentsChild } from './lightFleet'

const PEERS = [5, 20, 80, 320]
/** Interval at which a gateway exchanges with each of 340 agents, since it makes at most 20 exchanges a second. */
const EXCHANGE_INTERVAL_MS = 17_000
const BUSY_LOOKUPS_PER_SECOND = 100
const SETTLE_MS = 3000
const MS_PER_SECOND = 1000

/** Required budgets of a daemon. */
const BUDGET = { cpuShare: 0.019, bytes: 64 * 1024 * 1024, bytesPerSecond: 22_000 }

/** Labels of the calls to the platform, by the name of their figure. */
const PLATFORM_CALLS: Record<string, Record<string, string>> = {
  TableReads: { service: 'table', operation: 'read' },
  TableScans: { service: 'table', operation: 'scan' },
  TableCommits: { service: 'table', operation: 'commit' },
  ObjectCalls: { service: 'objects' }
}

type Role = 'gateway' | 'agent'
const ROLES: readonly Role[] = ['gateway', 'agent']

/** Relays between the daemons and the platform, one set for each role, so that bytes are counted by role. */
type PlatformRelays = Record<Role, ByteRelay[]>

export const control: Experiment = {
  name: 'control',
  question: 'What does a daemon spend on control, by the number of its peers?',
  defaults: { runs: 1, seconds: 16 },
  warmUpMs: 0,
  variants: () => PEERS.map((peers): Variant => ({ name: `${peers} peers`, settings: { peers, busyLookupsPerSecond: BUSY_LOOKUPS_PER_SECOND, agentExchangeIntervalMs: EXCHANGE_INTERVAL_MS }, run: context => measure(context, peers) })),
  aims: ROLES.flatMap(role => [
    { text: `${role}, idle: share of a core`, variant: '320 peers', figure: `${role}IdleCpuShare`, compare: 'value', bound: 'at_most', limit: BUDGET.cpuShare },
    { text: `${role}, idle: memory`, variant: '320 peers', figure: `${role}IdleBytes`, compare: 'value', bound: 'at_most', limit: BUDGET.bytes },
    { text: `${role}, idle: bytes a second`, variant: '320 peers', figure: `${role}IdleBytesPerSecond`, compare: 'value', bound: 'at_most', limit: BUDGET.bytesPerSecond }
  ] as const),
  summary: ROLES.flatMap(role => ['Idle', 'Busy'].flatMap(state => [`${role}${state}CpuShare`, `${role}${state}Bytes`, `${role}${state}AnonymousBytes`, `${role}${state}BytesPerSecond`, `${role}${state}WakeUpsPerSecond`])).concat(ROLES.flatMap(role => [`${role}CpuPerLookupMs`, `${role}BytesPerLookup`])),
  plots: result => [
    plotOf(result, 'cpu', 'CpuShare', 'Processor time for control', 'share of a core', BUDGET.cpuShare),
    plotOf(result, 'memory', 'Bytes', 'Memory', 'bytes', BUDGET.bytes),
    plotOf(result, 'bytes', 'BytesPerSecond', 'Bytes a second, both directions', 'bytes a second', BUDGET.bytesPerSecond)
  ]
}

function plotOf (result: ExperimentResult, name: string, figure: string, title: string, yLabel: string, budget: number): Plot {
  const lines = ROLES.flatMap(role => ['Idle', 'Busy'].map(state => ({ name: `${role}, ${state.toLowerCase()}`, figure: `${role}${state}${figure}` })))
  return linesBySetting(result, 'peers', lines, { name, title, xLabel: 'peers', yLabel, xScale: 'log', yScale: 'linear', limit: { value: budget, label: 'budget' } })
}

async function measure (context: RunContext, peers: number): Promise<VariantRun> {
  const targets = { tableUrl: '', objectsUrl: '', hostsUrl: '' }
  const relays: PlatformRelays = { gateway: await startPlatformRelays(targets), agent: await startPlatformRelays(targets) }
  try {
    return await measureBehindRelays(context, peers, relays, targets)
  } finally {
    await Promise.all([...relays.gateway, ...relays.agent].map(relay => relay.close()))
  }
}

type PlatformUrls = { tableUrl: string, objectsUrl: string, hostsUrl: string }

async function startPlatformRelays (targets: PlatformUrls): Promise<ByteRelay[]> {
  const names = ['tableUrl', 'objectsUrl', 'hostsUrl'] as const
  return await Promise.all(names.map(name => startByteRelay(() => new URL(targets[name]).host)))
}

async function measureBehindRelays (context: RunContext, peers: number, relays: PlatformRelays, targets: PlatformUrls): Promise<VariantRun> {
  const options: BenchFleetOptions = {
    gateways: 1,
    models: 0,
    plains: 1,
    adjustSettings: settings => {
      Object.assign(targets, settings.platform)
      const [table, objects, hosts] = relays[settings.role].map(relay => `http://${relay.address}`)
      return { ...settings, platform: { ...settings.platform, tableUrl: table, objectsUrl: objects, hostsUrl: hosts } }
    }
  }
  const fleet = await openFleet(context, options)
  const agentRelay = await startByteRelay(fleet.agents[0].peerAddress)
  let agents: LightAgentsChild | undefined
  try {
    agents = await addLightAgents(context, fleet, peers)
    const idle = await measureState(context, { fleet, agents, agentRelay, relays, peers }, 'Idle', 0)
    const busy = await measureState(context, { fleet, agents, agentRelay, relays, peers }, 'Busy', BUSY_LOOKUPS_PER_SECOND)
    return { figures: { ...idle.figures, ...busy.figures, ...perLookup(idle.figures, busy.figures) }, notes: [...idle.notes, ...busy.notes] }
  } finally {
    await agents?.stop()
    await agentRelay.close()
    await fleet.stop()
  }
}

/** @returns the cost of one lookup: the difference between the busy and the idle state */
function perLookup (idle: Figures, busy: Figures): Figures {
  return Object.fromEntries(ROLES.flatMap(role => [
    [`${role}BytesPerLookup`, (busy[`${role}BusyBytesPerSecond`] - idle[`${role}IdleBytesPerSecond`]) / BUSY_LOOKUPS_PER_SECOND],
    [`${role}CpuPerLookupMs`, (busy[`${role}BusyCpuShare`] - idle[`${role}IdleCpuShare`]) * MS_PER_SECOND / BUSY_LOOKUPS_PER_SECOND]
  ]))
}

/** One gateway with light agents and one agent with light gateways, measured at the same time. */
interface Setup {
  fleet: BenchFleet
  agents: LightAgentsChild
  /** Relay between the light gateways and the agent. */
  agentRelay: ByteRelay
  relays: PlatformRelays
  peers: number
}

async function measureState (context: RunContext, setup: Setup, state: 'Idle' | 'Busy', lookupsPerSecond: number): Promise<Required<VariantRun>> {
  const { fleet } = setup
  const gateways = await startLightGatewayProcess(context, setup, lookupsPerSecond)
  try {
    const measuredMs = context.durationMs / 2
    const lookups = startLookups(context, fleet, lookupsPerSecond, SETTLE_MS + measuredMs)
    await sleep(context.clock, SETTLE_MS)
    const before = await readBytes(setup)
    const measurement = await startUsageMeasurement({ gateway: fleet.gateways[0].pid, agent: fleet.agents[0].pid }, context.clock)
    const metricsBefore = await readRoleMetrics(fleet)
    const startedMs = context.clock.nowMs()
    await sleep(context.clock, measuredMs)
    const usage = await measurement.finish()
    const after = await readBytes(setup)
    const metricsAfter = await readRoleMetrics(fleet)
    const seconds = (context.clock.nowMs() - startedMs) / MS_PER_SECOND
    const notes = await lookups
    const stats = await gateways.stats()
    if (stats.exchangeErrors + stats.lookupErrors > 0) notes.push(`light gateways: ${JSON.stringify(stats)}`)
    const figures: Figures = {}
    for (const role of ROLES) {
      Object.assign(figures, stateFigures(`${role}${state}`, usage[role], (after[role] - before[role]) / seconds))
      for (const [name, labels] of Object.entries(PLATFORM_CALLS)) {
        figures[`${role}${state}${name}PerSecond`] = metricGrowth(metricsBefore[role], metricsAfter[role], 'anvilarch_platform_calls_total', labels) / seconds
      }
    }
    return { figures, notes }
  } finally {
    await gateways.stop()
  }
}

async function startLightGatewayProcess (context: RunContext, setup: Setup, lookupsPerSecond: number): Promise<BenchChild<object, LightGatewayStats>> {
  const { fleet } = setup
  return await startChild<object, LightGatewayStats>('lightGateways.js', {
    seed: context.round + 1,
    count: setup.peers,
    agentAddress: setup.agentRelay.address,
    exchangeIntervalMs: EXCHANGE_INTERVAL_MS,
    lookupsPerSecond,
    service: fleet.services.plain,
    endpoint: fleet.agents[0].endpoint.name
  })
}

/** Reads the metrics of the one real daemon of each role. */
async function readRoleMetrics (fleet: BenchFleet): Promise<Record<Role, MetricSample[]>> {
  return { gateway: await readMetrics([fleet.gateways[0]]), agent: await readMetrics([fleet.agents[0]]) }
}

function stateFigures (name: string, usage: ProcessUsage, bytesPerSecond: number): Figures {
  return {
    [`${name}CpuShare`]: usage.cpuShare,
    [`${name}Bytes`]: usage.residentBytes,
    [`${name}AnonymousBytes`]: usage.anonymousBytes,
    [`${name}BytesPerSecond`]: bytesPerSecond,
    [`${name}WakeUpsPerSecond`]: usage.wakeUpsPerSecond
  }
}

async function startLookups (context: RunContext, fleet: BenchFleet, ratePerSecond: number, durationMs: number): Promise<string[]> {
  if (ratePerSecond === 0) return []
  const callers = createCallers({ clock: context.clock, origins: [fleet.gateways[0].origin], model: '', lookupPrefix: `/services/${fleet.services.plain}` })
  const collector = createCollector()
  const { timesMs } = createArrivals(steadyArrivals(ratePerSecond, durationMs), context.random)
  const loop = await runLoad(context, { timesMs, collector, send: scheduled => callers.lookup(`busy-${scheduled.index}`) })
  await callers.close()
  return loadNotes('lookup', collector, loop)
}

/** @returns the bytes that each role has exchanged with its peers and the platform so far */
async function readBytes (setup: Setup): Promise<Record<Role, number>> {
  const agentStats = await setup.agents.stats()
  const sum = (relays: readonly ByteRelay[]): number => relays.reduce((total, relay) => total + relay.counts().toTargetBytes + relay.counts().fromTargetBytes, 0)
  return {
    gateway: agentStats.receivedBytes + agentStats.sentBytes + sum(setup.relays.gateway),
    agent: sum([setup.agentRelay, ...setup.relays.agent])
  }
}
