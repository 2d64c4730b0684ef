/** Runs one soak: puts a fleet of real processes under load and faults, and collects the evidence for the checks. */
import { setMaxListeners } from 'node:events'
import { join } from 'node:path'
import { createRandom, createSystemClock, sleep, type Clock } from 'anvilarch-utils'
import { applyDocument, callJson, type Fleet, waitFor } from 'anvilarch-standins'
import { Agent } from 'undici'
import type { FaultContext, LoadSwitches } from '../faults/types'
import type { FaultName } from '../faults/faultTable'
import { runFaults } from '../faults/runFaults'
import { soakDocument } from '../load/soakDocument'
import type { LoadContext } from '../load/types'
import { emptyEvidence, type Evidence } from '../types'
import { collectJobs, readExecutions } from './collectResults'
import { createGatewayPool } from './gatewayPool'
import { openSoakFleet, type SoakFleet } from './openSoakFleet'
import { readViolations } from './readViolations'
import { type LoadRates, runMixedLoad } from './startLoad'
import { watchDaemons } from './watchDaemons'
import { watchOrders } from './watchOrders'

/** Options of `runSoak`. */
export interface SoakOptions {
  durationMs: number
  seed: number
  faults: readonly FaultName[]
  directory: string
  checksFencing: boolean
  rates: LoadRates
  log: (line: string) => void
}

const READY_TIMEOUT_MS = 60_000
/** Limit of the wait for jobs after all faults have ended. */
const JOBS_TIMEOUT_MS = 120_000
/** Delay from the start of the load to the first fault, so that its rate is steady; none is injected this long before its end. */
const LOAD_MARGIN_MS = 3000
/** Time for the last configuration to propagate to every daemon after the last fault. */
const PROPAGATION_MS = 8000

/**
 * @param options - duration, seed and faults
 * @returns the evidence of the whole run
 */
export async function runSoak (options: SoakOptions): Promise<Evidence> {
  const clock = createSystemClock()
  const soakFleet = await openSoakFleet({ directory: options.directory, checksFencing: options.checksFencing })
  // The timers of the system clock are unreferenced, so the process could exit during a wait.
  const keepAlive = setInterval(() => {}, 1000)
  try {
    return await runOnFleet(soakFleet, clock, options)
  } finally {
    await soakFleet.stop()
    clearInterval(keepAlive)
  }
}

/** Waits until the new fleet has loaded its models, because refusals before that are not caused by faults. */
async function waitForServices (fleet: Fleet, clock: Clock): Promise<void> {
  await waitFor(async () => {
    const { services } = await callJson<{ services: Array<{ replicas: number, ready: number }> }>('GET', `${fleet.callerUrls()[0]}/admin/v1/services`)
    return services.length > 0 && services.every(({ replicas, ready }) => ready >= replicas)
  }, { clock, timeoutMs: READY_TIMEOUT_MS, what: 'all services to have their replicas' })
}

async function runOnFleet (soakFleet: SoakFleet, clock: Clock, options: SoakOptions): Promise<Evidence> {
  const { fleet, relays } = soakFleet
  const { log, seed } = options
  const random = createRandom(seed)
  const evidence = emptyEvidence()
  const { version } = await applyDocument(fleet.callerUrls()[0], 'soak.jsonc', JSON.stringify(soakDocument({ variant: 0 })))
  await fleet.waitReady(undefined, READY_TIMEOUT_MS)
  await waitForServices(fleet, clock)
  log(`the fleet is ready with version ${version}`)

  const switches: LoadSwitches = { slowCallers: false, goneCallers: false, flood: false, crashingCalls: false, lateBodies: false, failingItems: false }
  const claimed = new Set<string>()
  const stopping = new AbortController()
  // Each wait of the load adds a listener.
  setMaxListeners(0, stopping.signal)
  const gateways = createGatewayPool(fleet, clock, createRandom(seed + 1))
  const watch = watchDaemons({ fleet, clock, evidence, isUnderFault: name => claimed.has(name), log })
  const orders = watchOrders(fleet, clock, evidence)
  // One connection per call: a kept-alive connection that the gateway closes just then would look like an interrupted call.
  const dispatcher = new Agent({ pipelining: 0, headersTimeout: 0, bodyTimeout: 0 })
  const load: LoadContext = { clock, random: createRandom(seed + 2), dispatcher, gateways, evidence, switches, seed, signal: stopping.signal }
  const faultContext: FaultContext = {
    fleet,
    clock,
    random,
    relays,
    load: switches,
    claimed,
    recordStop: stop => { evidence.stops.push(stop) },
    recordDrain: drain => { evidence.leaves.push(drain) }
  }

  const sending = runMixedLoad(load, options.durationMs, options.rates)
  const untilMs = clock.nowMs() + options.durationMs - LOAD_MARGIN_MS
  await sleep(clock, LOAD_MARGIN_MS)
  try {
    await runFaults({
      context: faultContext,
      names: options.faults,
      untilMs,
      records: evidence.faults,
      waitForRecovery: async () => { await fleet.waitReady(undefined, READY_TIMEOUT_MS).catch((error: Error) => { log(`not ready: ${error.message}`) }) },
      log,
      signal: stopping.signal
    })
    await sleep(clock, untilMs + LOAD_MARGIN_MS - clock.nowMs())
    stopping.abort()
    await sending
    await collectJobs(load, JOBS_TIMEOUT_MS, log)
    await sleep(clock, PROPAGATION_MS)
    await watch.readNow()
    await orders.readNow()
    evidence.violations.push(...readViolations(join(options.directory, 'logs'), evidence.violations))
    evidence.executions = await readExecutions(load, fleet)
  } finally {
    stopping.abort()
    gateways.stop()
    watch.stop()
    orders.stop()
    await sending.catch(() => {})
    await dispatcher.destroy()
  }
  return evidence
}
