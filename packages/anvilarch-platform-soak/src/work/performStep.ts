/** Performs the steps of planned work. */
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import { createDerivedRandom } from '../derivedRandom'
import type { Traffic } from '../clients/traffic'
import { type ConfigurationVariant, configurationDocument, type DaemonRole } from '../deployment'
import type { ConfigurationChange } from '../rule/types'
import type { PlatformFleet, PlatformMachine, Rotation, StoreStandin } from 'anvilarch-standins'
import type { Endpoints } from './endpoints'
import type { WorkKind, WorkStep } from './schedule'

/** What the steps act on. */
export interface WorkContext {
  clock: Clock
  fleet: PlatformFleet
  rotation: Rotation
  traffic: Traffic
  endpoints: Endpoints
  store: StoreStandin
  changes: ConfigurationChange[]
  log: (line: string) => void
}

/** Share of signals that wait for the head of a response. */
const AT_RESPONSE_SHARE = 0.5
const MAX_WAIT_FOR_HEAD_MS = 800

/** Time from the exit of a process until it starts again. */
const RESTART_MS = [50, 500] as const

/** A process that has just started has no handler of SIGHUP. */
const MIN_AGE_FOR_RELOAD_MS = 2000

const BURST_FACTORS = [2, 3] as const
const BURST_MS = [800, 2500] as const
const PAUSE_MS = [100, 1000] as const

/** Endpoints of a service that remain. */
const MIN_ENDPOINTS = 2
const MAX_ENDPOINTS = 9

/**
 * Performs a step. A step without a target is skipped.
 *
 * @param context - what the step acts on
 * @param step - the step
 * @returns when the step and what follows it are over
 */
export async function performStep (context: WorkContext, { kind, seed }: WorkStep): Promise<void> {
  await STEPS[kind](context, createDerivedRandom(seed))
}

const STEPS: Record<WorkKind, (context: WorkContext, random: Random) => Promise<void>> = {
  roll_gateways: async (context, random) => {
    const { rotation, traffic } = context
    const gateway = drawMachine(context, random, 'gateway', machine => machine.state === 'running' && rotation.isReady(machine))
    if (gateway === undefined) return
    if (random.next() < AT_RESPONSE_SHARE) await traffic.nextHead(gateway, MAX_WAIT_FOR_HEAD_MS)
    if (gateway.state === 'running') await stopAndRestart(context, random, gateway)
  },
  stop_agents: async (context, random) => {
    const agent = drawMachine(context, random, 'agent', machine => machine.state === 'running' && context.clock.nowMs() - machine.startedAtMs > MIN_AGE_FOR_RELOAD_MS)
    if (agent !== undefined) await stopAndRestart(context, random, agent)
  },
  reload: async (context, random) => {
    const { clock, fleet, log } = context
    const machine = drawMachine(context, random, 'gateway', ({ state, startedAtMs }) => state !== 'stopped' && clock.nowMs() - startedAtMs > MIN_AGE_FOR_RELOAD_MS)
    if (machine === undefined) return
    log(`SIGHUP to ${machine.name}`)
    fleet.reload(machine)
  },
  configure: async ({ clock, store, changes, log }, random) => {
    const variant: ConfigurationVariant = { extraTimeoutMs: random.between(0, 3) * 500, extraRoutes: random.between(0, 2) }
    const version = (changes.at(-1)?.version ?? 1) + random.between(1, 3)
    const sentAtMs = clock.nowMs()
    log(`configuration ${version}`)
    store.put('op', 'config', configurationDocument(version, variant))
    changes.push({ version, sentAtMs, acknowledgedAtMs: clock.nowMs() })
  },
  release: async ({ endpoints, log }, random) => {
    const service = random.next() < 0.7 ? 'models' : 'plain'
    const serving = endpoints.serving(service)
    if (serving.length < MIN_ENDPOINTS) return
    const oldest = serving[0]
    const replacement = await endpoints.add(service, `v${Number(oldest.softwareVersion.slice(1)) + 1}`)
    log(`${replacement.engine.id} replaces ${oldest.engine.id}`)
    // Another step may have chosen it meanwhile.
    if (oldest.state === 'ready') await endpoints.remove(oldest, random)
  },
  scale_in: async ({ endpoints, log }, random) => {
    const serving = endpoints.serving('models')
    if (serving.length <= MIN_ENDPOINTS) return
    const endpoint = random.pick(serving)
    log(`${endpoint.engine.id} leaves`)
    await endpoints.remove(endpoint, random)
  },
  scale_out: async ({ endpoints, log }, random) => {
    const serving = endpoints.serving('models')
    if (serving.length >= MAX_ENDPOINTS) return
    const { engine } = await endpoints.add('models', random.pick(serving).softwareVersion)
    log(`${engine.id} joins`)
  },
  burst: async ({ traffic, log }, random) => {
    const factor = random.between(...BURST_FACTORS)
    log(`${factor} times the traffic`)
    traffic.burst(factor, random.between(...BURST_MS))
  },
  pause_engine: async ({ endpoints }, random) => {
    random.pick(endpoints.serving('models')).engine.pause(random.between(...PAUSE_MS))
  },
  discard_history: async ({ store }) => store.discardHistory()
}

function drawMachine ({ fleet }: WorkContext, random: Random, role: DaemonRole, isEligible: (machine: PlatformMachine) => boolean): PlatformMachine | undefined {
  const eligible = fleet.machines.filter(machine => machine.role === role && isEligible(machine))
  return eligible.length === 0 ? undefined : random.pick(eligible)
}

async function stopAndRestart ({ clock, fleet, log }: WorkContext, random: Random, machine: PlatformMachine): Promise<void> {
  const sentAtMs = clock.nowMs()
  log(`SIGTERM to ${machine.name}`)
  await fleet.stop(machine)
  log(`${machine.name} ended after ${Math.round(clock.nowMs() - sentAtMs)} ms`)
  await sleep(clock, random.between(...RESTART_MS))
  fleet.restart(machine)
}
