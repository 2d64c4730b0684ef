/** Gateways and engines on a fake clock; one prompt part crashes each engine that begins to write an answer on it. */
import { createFakeClock, createRandom, type FakeClock, type Random, SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { createServingMetrics } from '../../telemetry/metrics'
import { type CrashMonitor, createCrashMonitor } from '../crashMonitor'
import type { RequestIdentity } from '../fingerprint'
import { createSuspectTable, type SuspectRecord, type SuspectTable } from '../suspectTable'

/** Sizes of a fleet. */
export interface CrashFleetOptions {
  seed: number
  gateways: number
  engines: number
  /** Whether other traffic and agents tell the gateways of each crash. In a quiet hour only the list of endpoints does, after some seconds. */
  isQuiet?: boolean
}

/** A request with the crashing part that has reached an engine. */
export interface CrashingRun {
  atMs: number
  /** Whether the gateway that sent it had run for the time that makes a host count as in contact. */
  inTouch: boolean
}

/** The fleet. */
export interface CrashFleet {
  clock: FakeClock
  random: Random
  crashingRuns: CrashingRun[]
  crashedAtMs: number[]
  /** Sends a request through a random gateway. @returns whether its first attempt has begun to write an answer */
  send: (parts: readonly string[], onBegun: () => void) => void
  /** Sends a request that crashes each engine that begins to run it, with the same text each time, through a random gateway. */
  sendCrashing: () => void
  /** Replaces a random gateway by one that has no records yet. */
  restartGateway: () => void
}

export const CRASHING_PART = 'bad'

/** A host counts as in contact when it has been without a fault for this long. */
export const CONTACT_MS = 3000

const SLOTS = 8
const FIRST_EVENT_MS = 30
const CRASH_AFTER_MS = 80
const RUN_MS = 300
const DOWN_MS = 3000
const MAX_DETECTION_MS = 400
/** Time after a crash at which the entry of an engine is removed from the list. */
const MIN_EXPIRY_MS = 2400
const MAX_EXPIRY_MS = 3900
const CRASHING_TEXT = 'the crashing request'
const STORE_MS = 15
const MAX_FEED_MS = 150
const MAX_ATTEMPTS = 2

interface Run {
  identity: RequestIdentity
  gateway: Gateway
  attempt: number
  onBegun: () => void
}

interface Engine {
  startId: string
  runs: Set<Run>
}

interface Gateway {
  startedAtMs: number
  suspects: SuspectTable
  /** Versions of the rows of suspects, as known to it. */
  versions: Map<string, number>
  monitor: CrashMonitor
  alive: boolean
}

/**
 * @param options - seed and sizes
 * @returns a fleet without requests
 */
export function createCrashFleet (options: CrashFleetOptions): CrashFleet {
  const clock = createFakeClock(1_000_000)
  const random = createRandom(options.seed)
  const stored = createSuspectTable(clock, clock.nowMs)
  const versions = new Map<string, number>()
  const engines: Engine[] = Array.from({ length: options.engines }, (_, index) => ({ startId: `e${index}@0`, runs: new Set<Run>() }))
  const gateways: Gateway[] = []
  const crashingRuns: CrashingRun[] = []
  const crashedAtMs: number[] = []
  const metrics = createServingMetrics()
  let requestCount = 0
  let startCount = 0

  /** Changes the version of a row, and tells the gateways of the change by their feeds. */
  const publish = (fingerprint: string, apply: (suspects: SuspectTable) => void): void => {
    const version = (versions.get(fingerprint) ?? 0) + 1
    versions.set(fingerprint, version)
    for (const gateway of gateways) {
      clock.after(random.between(5, MAX_FEED_MS), () => {
        gateway.versions.set(fingerprint, version)
        apply(gateway.suspects)
      })
    }
  }

  const put = (record: SuspectRecord): void => {
    const merged = stored.merge(record)
    publish(record.fingerprint, suspects => suspects.merge(merged))
  }

  const startGateway = (): Gateway => {
    const suspects = createSuspectTable(clock, clock.nowMs)
    const known = new Map(versions)
    for (const record of stored.records()) suspects.merge(record)
    const monitor = createCrashMonitor({
      clock,
      metrics,
      connect: async startId => engines.some(engine => engine.startId === startId) ? 'connected' : 'refused',
      log: SILENT_LOGGER as EventLog,
      suspects,
      storeNowMs: clock.nowMs,
      shared: {
        publish: records => clock.after(STORE_MS, () => records.forEach(put)),
        claimTrial: async record => {
          const version = known.get(record.fingerprint)
          await new Promise<void>(resolve => { clock.after(STORE_MS, resolve) })
          if (versions.get(record.fingerprint) !== version) return false
          put({ ...record, trials: (record.trials ?? 0) + 1 })
          known.set(record.fingerprint, versions.get(record.fingerprint) ?? 0)
          suspects.merge({ ...record, trials: (record.trials ?? 0) + 1 })
          return true
        },
        clear: async record => {
          stored.remove(record.fingerprint)
          publish(record.fingerprint, other => other.remove(record.fingerprint))
        }
      }
    })
    const gateway = { startedAtMs: clock.nowMs(), suspects, versions: known, monitor, alive: true }
    gateways.push(gateway)
    return gateway
  }

  const crash = (engine: Engine): void => {
    const { startId } = engine
    const lost = [...engine.runs]
    crashedAtMs.push(clock.nowMs())
    engines.splice(engines.indexOf(engine), 1)
    for (const run of lost) {
      if (!run.gateway.alive) continue
      run.gateway.monitor.onConnectionLost(run.identity, { startId, address: startId })
      if (run.attempt < MAX_ATTEMPTS && run.gateway.monitor.mayRunAgain(run.identity, true)) place({ ...run, attempt: run.attempt + 1 })
    }
    const detectionMs = (): number => options.isQuiet === true ? random.between(MIN_EXPIRY_MS, MAX_EXPIRY_MS) : random.between(1, MAX_DETECTION_MS)
    for (const gateway of gateways) clock.after(detectionMs(), () => gateway.monitor.onEndpointLost(startId))
    clock.after(DOWN_MS, () => engines.push({ startId: `${startId}+${startCount++}`, runs: new Set() }))
  }

  const place = (run: Run): void => {
    const free = engines.filter(engine => engine.runs.size < SLOTS)
    if (free.length === 0) return
    const engine = random.pick(free)
    const isCrashing = run.identity.sharedParts.includes(CRASHING_PART) || run.identity.body.toString() === CRASHING_TEXT
    if (isCrashing) crashingRuns.push({ atMs: clock.nowMs(), inTouch: clock.nowMs() - run.gateway.startedAtMs > CONTACT_MS })
    engine.runs.add(run)
    const ifRunning = (act: () => void) => () => { if (engines.includes(engine) && engine.runs.has(run)) act() }
    clock.after(FIRST_EVENT_MS, ifRunning(() => { if (run.attempt === 1) run.onBegun() }))
    if (isCrashing) clock.after(CRASH_AFTER_MS, ifRunning(() => crash(engine)))
    else {
      clock.after(RUN_MS, ifRunning(() => {
        engine.runs.delete(run)
        if (run.attempt === 1 && run.gateway.alive) run.gateway.monitor.onCompleted(run.identity)
      }))
    }
  }

  const admitAndPlace = async (run: Run): Promise<void> => {
    const admission = run.gateway.monitor.admit(run.identity)
    if (admission === 'quarantined') return
    if (admission === 'trial_due' && !await run.gateway.monitor.claimTrial(run.identity)) return
    place(run)
  }

  const send = (text: string, parts: readonly string[], onBegun: () => void): void => {
    const identity = { method: 'POST', host: 'h', path: '/', body: Buffer.from(text), sharedParts: parts }
    admitAndPlace({ identity, gateway: random.pick(gateways), attempt: 1, onBegun }).catch(() => {})
  }

  for (let index = 0; index < options.gateways; index++) startGateway()

  return {
    clock,
    random,
    crashingRuns,
    crashedAtMs,
    send: (parts, onBegun) => send(`text ${requestCount++}`, parts, onBegun),
    sendCrashing: () => send(CRASHING_TEXT, [], () => {}),
    restartGateway: () => {
      const [stopped] = gateways.splice(random.between(0, gateways.length - 1), 1)
      stopped.alive = false
      startGateway()
    }
  }
}
