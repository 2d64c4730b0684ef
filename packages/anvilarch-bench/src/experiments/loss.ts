/** Loss of one of six endpoints (killed, frozen or drained) or of a failure domain, under steady online load. */
import { type Clock, sleep } from 'anvilarch-utils'
import type { RequestResult } from '../clients/requestResult'
import { readExecutions } from '../harness/fleetCounters'
import { latencyFigures, loadNotes, promptText, runLoad } from '../harness/fleetLoad'
import type { BenchAgent, BenchFleet } from '../harness/fleetTypes'
import type { Experiment, Figures, RunContext, Variant, VariantRun } from '../harness/types'
import { withFleet } from '../harness/withFleet'
import { createArrivals, steadyArrivals } from '../load/arrivals'
import { createCollector } from '../load/collector'
import { barsByFigure } from '../plots/resultPlots'
import { QUARTER_ENGINE } from './quarterEngine'

const ENGINES = 6
const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const REQUESTS_PER_SECOND = 30
const TOKENS = 24
const PROMPT_CHARACTERS = 400
/** The fault is injected after this share of the measured time. */
const FAULT_SHARE = 0.3
/** A request is hit by the fault when it fails or takes more than this many times the median before the fault. */
const HIT_FACTOR = 2.5

/** Injects a fault and returns the agents that are lost. */
type Fault = (fleet: BenchFleet) => Promise<BenchAgent[]> | BenchAgent[]

/** A measured request after its end. */
interface MeasuredRequest {
  intendedMs: number
  durationMs: number
  outcome: RequestResult['outcome']
}

const FAULTS: Record<string, Fault> = {
  none: () => [],
  'agent killed': fleet => signalAgents(fleet, [fleet.agents[0]], 'SIGKILL'),
  'agent frozen': fleet => signalAgents(fleet, [fleet.agents[0]], 'SIGSTOP'),
  'agent drained': fleet => signalAgents(fleet, [fleet.agents[0]], 'SIGTERM'),
  'engine killed': fleet => {
    fleet.local.kill(fleet.agents[0].endpoint.name, 'SIGKILL')
    return [fleet.agents[0]]
  },
  'failure domain lost': fleet => {
    const lost = fleet.agents.filter(agent => agent.failureDomain === fleet.agents[0].failureDomain)
    for (const agent of lost) fleet.local.kill(agent.endpoint.name, 'SIGKILL')
    return signalAgents(fleet, lost, 'SIGKILL')
  }
}

const NO_ERRORS_AIMS = Object.keys(FAULTS).map(name => ({ text: `errors seen by callers, ${name}`, variant: name, figure: 'errors', compare: 'value', bound: 'at_most', limit: 0 }) as const)

export const loss: Experiment = {
  name: 'loss',
  question: 'How long do requests go to an endpoint that is lost, and what do callers see of it?',
  defaults: { runs: 2, seconds: 12 },
  warmUpMs: 2000,
  variants: () => Object.entries(FAULTS).map(([name, fault]): Variant => ({ name, settings: { fault: name }, run: context => measure(context, fault) })),
  aims: NO_ERRORS_AIMS,
  summary: ['errors', 'refused', 'hitRequests', 'lastHitAfterMs', 'lastStartAfterMs', 'firstTokenP50Ms', 'firstTokenP99Ms', 'totalP99Ms', 'totalMaxMs'],
  plots: result => [
    barsByFigure(result, { lastHitAfterMs: 'last request that was hit', lastStartAfterMs: 'last start on the lost endpoint' }, { name: 'time', title: 'Time from the loss', yLabel: 'ms' }),
    barsByFigure(result, { totalP99Ms: 'whole answer p99', totalMaxMs: 'whole answer, longest' }, { name: 'latency', title: 'Latency of the whole run', yLabel: 'ms' })
  ]
}

function signalAgents (fleet: BenchFleet, agents: BenchAgent[], signal: NodeJS.Signals): BenchAgent[] {
  for (const agent of agents) fleet.local.kill(agent.name, signal)
  return agents
}

async function measure (context: RunContext, fault: Fault): Promise<VariantRun> {
  const options = { gateways: 2, models: ENGINES, plains: 0, engine: QUARTER_ENGINE, failureDomains: FAILURE_DOMAINS }
  return await withFleet(context, options, async ({ fleet, callers }) => {
    const collector = createCollector()
    const requests: MeasuredRequest[] = []
    const { timesMs } = createArrivals(steadyArrivals(REQUESTS_PER_SECOND, context.warmUpMs + context.durationMs), context.random)
    const faultAfterMs = context.warmUpMs + context.durationMs * FAULT_SHARE
    const injection = injectFaultAfter(context.clock, faultAfterMs, () => fault(fleet))
    const loop = await runLoad(context, {
      timesMs,
      collector,
      send: async scheduled => {
        const result = await callers.chat({ requestId: `loss-${context.round}-${scheduled.index}`, prompt: promptText(context.random, PROMPT_CHARACTERS), maxTokens: TOKENS })
        if (scheduled.measured) requests.push({ intendedMs: scheduled.intendedMs, durationMs: result.endedAtMs - scheduled.intendedMs, outcome: result.outcome })
        return result
      }
    })
    const { lost, atMs, atWallMs } = await injection
    const { completed, refused, ...errors } = collector.outcomes
    const figures: Figures = {
      errors: Object.values(errors).reduce((sum, count) => sum + count, 0) + loop.unfinished,
      refused,
      completed,
      totalMaxMs: collector.total.summary().maxMs,
      ...latencyFigures('firstToken', collector.firstToken),
      ...latencyFigures('total', collector.total),
      ...hitFigures(requests, atMs),
      ...await lastStarts(fleet, lost, atWallMs)
    }
    return { figures, notes: loadNotes('chat', collector, loop) }
  })
}

async function injectFaultAfter (clock: Clock, delayMs: number, fault: () => Promise<BenchAgent[]> | BenchAgent[]): Promise<{ lost: BenchAgent[], atMs: number, atWallMs: number }> {
  await sleep(clock, delayMs)
  const atMs = clock.nowMs()
  const atWallMs = clock.wallMs()
  return { lost: await fault(), atMs, atWallMs }
}

/**
 * @param requests - requests of the run
 * @param faultMs - when the fault was injected
 * @returns how many requests were hit, and the time from the fault to the intended send time of the last of them
 */
export function hitFigures (requests: readonly MeasuredRequest[], faultMs: number): Figures {
  const before = requests.filter(request => request.intendedMs + request.durationMs < faultMs).map(request => request.durationMs).sort((left, right) => left - right)
  if (before.length === 0) return {}
  const normalMs = before[Math.floor(before.length / 2)]
  const hit = requests.filter(request => request.intendedMs + request.durationMs >= faultMs && (request.outcome !== 'completed' || request.durationMs > normalMs * HIT_FACTOR))
  const lastMs = Math.max(faultMs, ...hit.map(request => request.intendedMs))
  return { hitRequests: hit.length, lastHitAfterMs: lastMs - faultMs }
}

/** An endpoint keeps running after most of the faults of its agent, so its ledger shows the last request that it received. */
async function lastStarts (fleet: BenchFleet, lost: readonly BenchAgent[], faultWallMs: number): Promise<Figures> {
  if (lost.length === 0) return {}
  const executions = await readExecutions(fleet)
  const names = lost.map(agent => agent.endpoint.name).filter(name => executions.has(name))
  if (names.length === 0) return {}
  const starts = names.flatMap(name => executions.get(name) ?? []).map(execution => execution.startedAtMs)
  return { lastStartAfterMs: Math.max(0, Math.max(0, ...starts) - faultWallMs) }
}
