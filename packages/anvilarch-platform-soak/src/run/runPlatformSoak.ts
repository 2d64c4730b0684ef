/** A run: starts the deployment, plays load and planned work, and collects the evidence. */
import { join } from 'node:path'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { createLoopbackAddresses, openPlatformFleet, type PlatformMachine, readResidentBytes, startRotation, startStoreStandin } from 'anvilarch-standins'
import { type Clock, createRandom, processSeed, sleep } from 'anvilarch-utils'
import type { Attempt } from '../clients/attempt'
import { startCrowds } from '../clients/crowds'
import { startTraffic } from '../clients/traffic'
import { BOUNDS, configurationDocument, type DaemonPlace, MEMORY_MEGABYTES, PORTS, settingsDocument, ZONES } from '../deployment'
import type { ClientRequest, ConfigurationChange, EndpointRun, Evidence } from '../rule/types'
import { openEndpoints } from '../work/endpoints'
import { performStep, type WorkContext } from '../work/performStep'
import { drawSchedule, type WorkKind } from '../work/schedule'

/** Options of `runPlatformSoak`. */
export interface PlatformSoakOptions {
  clock: Clock
  durationMs: number
  seed: number
  gateways: number
  /** Engines; there is a plain service for every two. */
  engines: number
  /** Mean number of requests per second. */
  rate: number
  work: readonly WorkKind[]
  pipelines: boolean
  /** Whether clients that do not behave come beside the load. */
  crowds: boolean
  /** Checkout whose daemons run. */
  root: string
  /** Folder for settings and logs. */
  folder: string
  /** Ends the run early. */
  signal: AbortSignal
  log: (line: string) => void
}

/** What a run has yielded. */
export interface PlatformSoakResult {
  evidence: Evidence
  attempts: Attempt[]
  /** Processes that ended by themselves or in a wrong way. */
  problems: string[]
  /** Longest time for which this process did nothing else. What it sees in that time has later times than it happened. */
  longestPauseMs: number
  /** Log of each daemon, by its name. */
  logPaths: Map<string, string>
}

/** Longest time from the start until all gateways are ready. */
const START_TIMEOUT_MS = 20_000

const START_POLL_MS = 100

/** Time of a call to the store. */
const STORE_DELAY_MS = 4

const MEMORY_INTERVAL_MS = 100
const BYTES_PER_MEGABYTE = 1e6

const DELAY_RESOLUTION_MS = 10
const NS_PER_MS = 1e6

/** @returns what the run has yielded, after all that it started has ended */
export async function runPlatformSoak (options: PlatformSoakOptions): Promise<PlatformSoakResult> {
  const { clock, seed, signal, log, folder, root } = options
  const nextIp = createLoopbackAddresses(createRandom(processSeed()), Object.values(PORTS))
  const store = await startStoreStandin()
  store.faults.delayMs = STORE_DELAY_MS
  store.put('op', 'config', configurationDocument(1, { extraTimeoutMs: 0, extraRoutes: 0 }))
  const fleet = openPlatformFleet({ clock, root, folder, graceMs: BOUNDS.graceMs })
  const endpoints = openEndpoints({ clock, store, nextIp, seed })
  const changes: ConfigurationChange[] = []
  const startDaemon = (place: Omit<DaemonPlace, 'storeAddress'>): void => { fleet.start(place, settingsDocument({ ...place, storeAddress: store.address })) }
  const startMs = clock.nowMs()
  try {
    for (let index = 0; index < Math.ceil(options.engines / 2); index++) await endpoints.add('plain', 'v1')
    for (let index = 0; index < options.engines; index++) {
      const { engine, zone } = await endpoints.add('models', 'v1')
      startDaemon({ name: `agent-${index + 1}`, role: 'agent', ip: engine.ip, zone, endpointAddress: engine.address })
    }
    for (let index = 0; index < options.gateways; index++) startDaemon({ name: `gateway-${index + 1}`, role: 'gateway', ip: await nextIp(), zone: ZONES[index % ZONES.length] })
    const gateways = fleet.machines.filter(({ role }) => role === 'gateway')
    const rotation = startRotation({ clock, gateways, readyPort: PORTS.ready })
    while (!gateways.every(rotation.isReady)) {
      if (clock.nowMs() - startMs > START_TIMEOUT_MS) throw new Error(`gateways are not ready after ${START_TIMEOUT_MS} ms: see the logs in ${folder}`)
      await sleep(clock, START_POLL_MS)
    }
    const traffic = startTraffic({ clock, seed, rotation, rate: options.rate, pipelines: options.pipelines })
    const memory = watchMemory(gateways, fleet.problems)
    const crowds = options.crowds ? startCrowds({ clock, seed, rotation }) : undefined
    const context: WorkContext = { clock, fleet, rotation, traffic, endpoints, store, changes, log }
    const work = playSchedule(context, options)
    const delays = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS })
    delays.enable()
    await sleep(clock, options.durationMs, signal)
    await crowds?.stop()
    crowds?.played().forEach(crowd => log(`crowd: ${crowd}`))
    await traffic.stop()
    await work.stop()
    memory.stop()
    rotation.close()
    return {
      evidence: { bounds: BOUNDS, requests: toRequests(traffic.attempts, endpoints.runs), runs: endpoints.runs, signals: fleet.signals, changes, disruptions: [] },
      attempts: traffic.attempts,
      problems: fleet.problems,
      longestPauseMs: delays.max / NS_PER_MS,
      logPaths: new Map(fleet.machines.map(({ name }) => [name, join(folder, `${name}.log`)]))
    }
  } finally {
    await fleet.close()
    await endpoints.close()
    await store.close()
  }
}

/**
 * Over a link, the last byte of a request comes to the process late, and so does the end of the connection to the client. A request that was not
 * passed on counts by the time that the process had for it, so that both times are those at the gateway's host.
 */
function toRequests (attempts: readonly Attempt[], runs: readonly EndpointRun[]): ClientRequest[] {
  const passedOn = new Set(runs.map(({ requestId }) => requestId))
  return attempts.map(attempt => passedOn.has(attempt.requestId) ? attempt : { ...attempt, sentAtMs: attempt.deliveredAtMs, endedAtMs: attempt.closedAtMs ?? attempt.endedAtMs })
}

/** Reports gateways that use more memory than their machines have. @returns a function that ends the watch */
function watchMemory (gateways: readonly PlatformMachine[], problems: string[]): { stop: () => void } {
  const reported = new Set<string>()
  const timer = setInterval(() => {
    for (const { name, process: child } of gateways) {
      const bytes = child.pid === undefined ? 0 : readResidentBytes(child.pid) ?? 0
      if (bytes <= MEMORY_MEGABYTES * BYTES_PER_MEGABYTE || reported.has(name)) continue
      reported.add(name)
      problems.push(`${name} used ${Math.round(bytes / BYTES_PER_MEGABYTE)} MB of ${MEMORY_MEGABYTES}`)
    }
  }, MEMORY_INTERVAL_MS)
  return { stop: () => clearInterval(timer) }
}

/** Starts the steps at their times. @returns a function that starts no more of them and reports one that failed */
function playSchedule (context: WorkContext, { clock, work, seed, durationMs, signal }: PlatformSoakOptions): { stop: () => Promise<void> } {
  const startMs = clock.nowMs()
  const failures: Error[] = []
  const stopped = new AbortController()
  const play = async (): Promise<void> => {
    for (const step of drawSchedule(work, seed, durationMs)) {
      await sleep(clock, step.atMs - (clock.nowMs() - startMs), AbortSignal.any([signal, stopped.signal]))
      if (signal.aborted || stopped.signal.aborted) return
      performStep(context, step).catch((error: Error) => { failures.push(error) })
    }
  }
  const played = play()
  return {
    stop: async () => {
      stopped.abort()
      await played
      if (failures.length > 0) throw failures[0]
    }
  }
}
