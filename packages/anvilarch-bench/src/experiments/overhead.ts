/** Overhead of gateway and agent over direct requests to the endpoint: latency, CPU time and requests a second per core. */
import { sleep } from 'anvilarch-utils'
import { type Callers, createCallers, latencyFigures, loadNotes, promptText, runLoad } from '../harness/fleetLoad'
import type { BenchFleet } from '../harness/fleetTypes'
import type { Experiment, Figures, RunContext, VariantRun } from '../harness/types'
import { withFleet } from '../harness/withFleet'
import { createArrivals, steadyArrivals } from '../load/arrivals'
import { type Collector, createCollector } from '../load/collector'
import { barsByFigure } from '../plots/resultPlots'
import { startUsageMeasurement } from '../sampling/processSampler'

const LOOKUPS_PER_SECOND = 150
const CHATS_PER_SECOND = 12
/** About 20 concurrent streams on one endpoint: as at the peak, tokens of many streams then arrive in the same step. */
const DENSE_CHATS_PER_SECOND = 45
const CHAT_TOKENS = 24
const PROMPT_CHARACTERS = 400
const IDLE_MS = 2000
/** Lookups, chats and dense chats run in sequence. */
const PHASES = 3
const MS_PER_SECOND = 1000

type Role = 'gateway' | 'agent'

/** CPU time by role, in milliseconds. */
type RoleCpu = Record<Role, number>

export const overhead: Experiment = {
  name: 'overhead',
  question: 'What do gateway and agent add to a direct call of the endpoint?',
  defaults: { runs: 3, seconds: 18 },
  warmUpMs: 2000,
  variants: () => [
    { name: 'direct', settings: { path: 'caller to endpoint' }, run: context => measure(context, directCallers) },
    { name: 'through', settings: { path: 'caller to gateway to agent to endpoint' }, run: context => measure(context, (_fleet, callers) => callers) }
  ],
  derive: round => {
    const direct = round.get('direct') ?? {}
    const through = round.get('through') ?? {}
    for (const name of ['lookupP50Ms', 'lookupP99Ms', 'firstTokenP50Ms', 'firstTokenP99Ms', 'interTokenP99Ms']) {
      if (name in direct && name in through) through[`added${name[0].toUpperCase()}${name.slice(1)}`] = through[name] - direct[name]
    }
  },
  aims: [],
  summary: [
    'lookupP50Ms', 'lookupP99Ms', 'firstTokenP50Ms', 'firstTokenP99Ms', 'interTokenP99Ms',
    'addedLookupP50Ms', 'addedLookupP99Ms', 'addedFirstTokenP50Ms', 'addedFirstTokenP99Ms',
    'gatewayCpuPerLookupMs', 'agentCpuPerLookupMs', 'gatewayCpuPerChatMs', 'agentCpuPerChatMs', 'gatewayCpuPerTokenMs', 'agentCpuPerTokenMs', 'gatewayCpuPerDenseTokenMs', 'agentCpuPerDenseTokenMs', 'denseFirstTokenP99Ms', 'denseInterTokenP99Ms',
    'lookupsPerSecondPerCore'
  ],
  plots: result => [
    barsByFigure(result, { lookupP50Ms: 'lookup p50', lookupP99Ms: 'lookup p99', firstTokenP50Ms: 'first token p50', firstTokenP99Ms: 'first token p99' }, { name: 'latency', title: 'Latency direct and through gateway and agent', yLabel: 'ms' }),
    barsByFigure(result, { gatewayCpuPerTokenMs: 'gateway', gatewayCpuPerDenseTokenMs: 'gateway, dense', agentCpuPerTokenMs: 'agent', agentCpuPerDenseTokenMs: 'agent, dense' }, { name: 'token', title: 'CPU time per streamed token, with few and with many streams on an endpoint', yLabel: 'ms of one core' }),
    barsByFigure(result, { gatewayCpuPerLookupMs: 'gateway, lookup', agentCpuPerLookupMs: 'agent, lookup', gatewayCpuPerChatMs: 'gateway, chat', agentCpuPerChatMs: 'agent, chat' }, { name: 'cpu', title: `CPU time per request (a chat streams ${CHAT_TOKENS} tokens)`, yLabel: 'ms of one core' })
  ]
}

function directCallers (fleet: BenchFleet, _callers: Callers, clock: RunContext['clock']): Callers {
  const originsOf = (kind: 'model' | 'plain'): string[] => fleet.agents.filter(agent => agent.kind === kind).map(agent => agent.endpoint.url)
  const chat = createCallers({ clock, origins: originsOf('model'), model: fleet.model, lookupPrefix: '' })
  const lookup = createCallers({ clock, origins: originsOf('plain'), model: fleet.model, lookupPrefix: '' })
  return { chat: chat.chat, lookup: lookup.lookup, close: async () => { await Promise.all([chat.close(), lookup.close()]) } }
}

async function measure (context: RunContext, chooseCallers: (fleet: BenchFleet, callers: Callers, clock: RunContext['clock']) => Callers): Promise<VariantRun> {
  return await withFleet(context, { gateways: 1, models: 1, plains: 1 }, async ({ fleet, callers: gatewayCallers }) => {
    const callers = chooseCallers(fleet, gatewayCallers, context.clock)
    const idleCpu = await measureRoleCpu(context, fleet, () => sleep(context.clock, IDLE_MS))
    const idlePerMs: RoleCpu = { gateway: idleCpu.gateway / IDLE_MS, agent: idleCpu.agent / IDLE_MS }
    const notes: string[] = []
    const phaseMs = context.durationMs / PHASES
    const measurePhase = async (name: string, ratePerSecond: number, send: (index: number) => ReturnType<Callers['lookup']>): Promise<{ collector: Collector, cpuPerRequest: RoleCpu }> => {
      const collector = createCollector()
      const { timesMs } = createArrivals(steadyArrivals(ratePerSecond, phaseMs + context.warmUpMs), context.random)
      const startedMs = context.clock.nowMs()
      const cpu = await measureRoleCpu(context, fleet, async () => {
        const loop = await runLoad(context, { timesMs, collector, send: scheduled => send(scheduled.index) })
        notes.push(...loadNotes(name, collector, loop))
      })
      const elapsedMs = context.clock.nowMs() - startedMs
      const perRequest = (role: Role): number => (cpu[role] - idlePerMs[role] * elapsedMs) / timesMs.length
      return { collector, cpuPerRequest: { gateway: perRequest('gateway'), agent: perRequest('agent') } }
    }
    const lookups = await measurePhase('lookup', LOOKUPS_PER_SECOND, index => callers.lookup(`lookup-${context.round}-${index}`))
    const chat = (name: string) => (index: number) => callers.chat({
      requestId: `${name}-${context.round}-${index}`,
      prompt: promptText(context.random, PROMPT_CHARACTERS),
      maxTokens: CHAT_TOKENS
    })
    const chats = await measurePhase('chat', CHATS_PER_SECOND, chat('chat'))
    const dense = await measurePhase('dense chat', DENSE_CHATS_PER_SECOND, chat('dense'))
    if (callers !== gatewayCallers) await callers.close()
    const figures: Figures = {
      ...latencyFigures('lookup', lookups.collector.total),
      ...latencyFigures('firstToken', chats.collector.firstToken),
      ...latencyFigures('interToken', chats.collector.interToken),
      ...latencyFigures('denseFirstToken', dense.collector.firstToken),
      ...latencyFigures('denseInterToken', dense.collector.interToken)
    }
    if (callers === gatewayCallers) Object.assign(figures, cpuFigures(lookups.cpuPerRequest, chats.cpuPerRequest, dense.cpuPerRequest))
    return { figures, notes }
  })
}

function cpuFigures (lookup: RoleCpu, chat: RoleCpu, dense: RoleCpu): Figures {
  const perToken = (request: RoleCpu, role: Role): number => Math.max(0, request[role] - lookup[role]) / CHAT_TOKENS
  return {
    gatewayCpuPerLookupMs: lookup.gateway,
    agentCpuPerLookupMs: lookup.agent,
    gatewayCpuPerChatMs: chat.gateway,
    agentCpuPerChatMs: chat.agent,
    gatewayCpuPerTokenMs: perToken(chat, 'gateway'),
    agentCpuPerTokenMs: perToken(chat, 'agent'),
    gatewayCpuPerDenseTokenMs: perToken(dense, 'gateway'),
    agentCpuPerDenseTokenMs: perToken(dense, 'agent'),
    lookupsPerSecondPerCore: MS_PER_SECOND / (lookup.gateway + lookup.agent)
  }
}

/** @returns the CPU time that gateways and agents use while `during` runs */
async function measureRoleCpu (context: RunContext, fleet: BenchFleet, during: () => Promise<void>): Promise<RoleCpu> {
  const pids: Record<string, number> = {}
  for (const gateway of fleet.gateways) pids[`gateway ${gateway.name}`] = gateway.pid
  for (const agent of fleet.agents) pids[`agent ${agent.name}`] = agent.pid
  const measurement = await startUsageMeasurement(pids, context.clock)
  await during()
  const usage = Object.entries(await measurement.finish())
  const sum = (role: Role): number => usage.filter(([key]) => key.startsWith(role)).reduce((total, [, used]) => total + used.cpuMs, 0)
  return { gateway: sum('gateway'), agent: sum('agent') }
}
