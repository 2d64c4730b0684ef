/** Time from applying a document until it is in force in every daemon, by the number of daemons. */
import { applyDocument, waitFor } from 'anvilarch-standins'
import { getJson } from '../harness/fleetCounters'
import type { BenchFleet } from '../harness/fleetTypes'
import type { Experiment, RunContext, Variant, VariantRun } from '../harness/types'
import { withFleet } from '../harness/withFleet'
import { linesBySetting } from '../plots/resultPlots'
import { createLatencyRecorder } from '../statistics/latencyRecorder'
import { addLightAgents, type LightAgentsChild } from './lightFleet'

const GATEWAYS = 2
const PEERS = [20, 80, 160, 320]
/** Required upper bound. */
const IN_FORCE_LIMIT_MS = 13_000
const APPLY_EVERY_MS = 2500
const MS_PER_SECOND = 1000

export const configuration: Experiment = {
  name: 'configuration',
  question: 'How long does an applied document take to be in force in every daemon?',
  defaults: { runs: 2, seconds: 10 },
  warmUpMs: 0,
  variants: () => PEERS.map((peers): Variant => ({ name: `${peers} agents`, settings: { peers, gateways: GATEWAYS }, run: context => measure(context, peers) })),
  aims: [{ text: 'in force everywhere, slowest of all changes, 320 agents', variant: '320 agents', figure: 'inForceMaxMs', compare: 'value', bound: 'at_most', limit: IN_FORCE_LIMIT_MS }],
  summary: ['changes', 'inForceP50Ms', 'inForceMaxMs', 'gatewaysP50Ms', 'pushesPerAgentAndChange'],
  plots: result => [
    linesBySetting(result, 'peers', [{ name: 'median change', figure: 'inForceP50Ms' }, { name: 'slowest change', figure: 'inForceMaxMs' }, { name: 'gateways only, median', figure: 'gatewaysP50Ms' }], { name: 'in-force', title: 'From apply to in force in every daemon', xLabel: 'agents', yLabel: 'ms', xScale: 'log', yScale: 'linear' })
  ]
}

async function measure (context: RunContext, peers: number): Promise<VariantRun> {
  return await withFleet(context, { gateways: GATEWAYS, models: 0, plains: 1 }, async ({ fleet }) => {
    const agents = await addLightAgents(context, fleet, peers)
    try {
      return await measureChanges(context, fleet, agents, peers)
    } finally {
      await agents.stop()
    }
  })
}

async function measureChanges (context: RunContext, fleet: BenchFleet, agents: LightAgentsChild, peers: number): Promise<VariantRun> {
  const allDaemons = createLatencyRecorder()
  const gateways = createLatencyRecorder()
  const changes = Math.max(1, Math.round(context.durationMs / APPLY_EVERY_MS))
  const before = await agents.stats()
  for (let change = 1; change <= changes; change++) {
    fleet.document.defaultCaller.burst += 1
    const targetGateway = fleet.gateways[change % fleet.gateways.length]
    const startedWallMs = context.clock.wallMs()
    const { version } = await applyDocument(targetGateway.origin, 'bench.jsonc', JSON.stringify(fleet.document))
    const appliedAtGateways = waitForGateways(context, fleet, version).then(() => context.clock.wallMs() - startedWallMs)
    await waitFor(async () => ((await agents.stats()).versions[String(version)]?.length ?? 0) >= peers, {
      clock: context.clock, timeoutMs: IN_FORCE_LIMIT_MS * 3, what: `version ${version} at ${peers} agents`
    })
    const times = (await agents.stats()).versions[String(version)]
    const gatewaysMs = await appliedAtGateways
    gateways.record(gatewaysMs)
    allDaemons.record(Math.max(gatewaysMs, Math.max(...times) - startedWallMs))
  }
  const after = await agents.stats()
  return {
    figures: {
      changes,
      inForceP50Ms: allDaemons.percentileMs(50),
      inForceMaxMs: allDaemons.summary().maxMs,
      gatewaysP50Ms: gateways.percentileMs(50),
      pushesPerAgentAndChange: (after.pushes - before.pushes) / peers / changes,
      changesPerSecond: changes * MS_PER_SECOND / context.durationMs
    }
  }
}

async function waitForGateways (context: RunContext, fleet: BenchFleet, version: number): Promise<void> {
  await waitFor(async () => {
    const versions = await Promise.all(fleet.gateways.map(async gateway => (await getJson<{ version: number }>(`${gateway.origin}/admin/v1/configuration`)).version))
    return versions.every(inForce => inForce >= version)
  }, { clock: context.clock, timeoutMs: IN_FORCE_LIMIT_MS * 3, what: `version ${version} at the gateways`, intervalMs: 20 })
}
