/** Several gateways in one process, on one in-memory platform. Each can be paused, resumed and killed. */
import { type Clock, createFakeClock, createLifecycleManager, createRandom, type FakeClock, onViolation } from 'anvilarch-utils'
import { ROW_KEYS } from 'anvilarch-protocol'
import type { DaemonContext } from '../../context'
import { startHeartbeat } from '../../leases/startHeartbeat'
import { startLeaseObserver } from '../../leases/startLeaseObserver'
import { isPartDone, type JobRow, type PartRow } from '../rows'
import { startWorker, type Worker } from '../startWorker'
import { createFakeRunner, type FakeRunner } from './fakeRunner'
import { createFaultyPlatform, noFaults, type PlatformFaults, type ProcessGate } from './faultyPlatform'
import { type CommitListener, createMemoryStore, type MemoryStore } from './memoryStore'
import { createTestContext, STATIC_DIRECTORY } from './testContext'

/** A gateway of the simulated fleet. */
export interface SimulatedGateway {
  name: string
  context: DaemonContext
  runner: FakeRunner
  gate: Gate
  /** Undefined until it has started. */
  worker: () => Worker | undefined
}

/** Pauses, resumes and kills a process. */
export interface Gate extends ProcessGate {
  pause: () => void
  resume: () => void
  kill: () => void
  state: () => 'running' | 'paused' | 'dead'
  /** Runs an action now, when the process resumes, or never if it is dead. */
  run: (action: () => void) => void
}

/** The fleet and its platform. */
export interface SimulatedFleet {
  clock: FakeClock
  store: MemoryStore
  faults: PlatformFaults
  gateways: SimulatedGateway[]
  /** Violated invariants. */
  violations: string[]
  /** Bound of the result buffer of gateways that are added later. */
  maxBufferedItems: number
  addGateway: () => SimulatedGateway
  /** Adds a process without a worker. */
  addProcess: () => Pick<SimulatedGateway, 'name' | 'context' | 'gate'>
  running: () => SimulatedGateway[]
}

const PLATFORM_TIMEOUT_MS = 1_000
const MAX_RUN_MS = 900
const SLOTS = 6
const MAX_BUFFERED_BYTES = 1_000_000

/** Violations of the fleet that was created last: the listener of violated invariants is global and does not name a fleet. */
let current: string[] = []
onViolation((name, detail) => { current.push(`invariant "${name}": ${detail}`) })

/** @returns a gate of a running process */
export function createGate (): Gate {
  let state: 'running' | 'paused' | 'dead' = 'running'
  let waiting: Array<() => void> = []
  const run = (action: () => void): void => {
    if (state === 'running') action()
    else if (state === 'paused') waiting.push(action)
  }
  return {
    run,
    pass: async () => { await new Promise<void>(resolve => { run(resolve) }) },
    pause: () => { if (state === 'running') state = 'paused' },
    kill: () => {
      state = 'dead'
      waiting = []
    },
    resume: () => {
      if (state !== 'paused') return
      state = 'running'
      const queued = waiting
      waiting = []
      for (const action of queued) action()
    },
    state: () => state
  }
}

/** Wraps a clock that advances while the process is paused; its timers fire when the process resumes. */
function gatedClock (clock: Clock, gate: Gate): Clock {
  return { ...clock, after: (delayMs, onFire) => clock.after(delayMs, () => { gate.run(onFire) }) }
}

/**
 * @param seed - seed of all random numbers
 * @param refusedShare - share of runs that the endpoints reject
 * @returns a fleet without gateways
 */
export function createSimulatedFleet (seed: number, refusedShare: number): SimulatedFleet {
  const clock = createFakeClock(1_000_000)
  const violations: string[] = []
  current = violations
  const store = createMemoryStore(checkCommit(violations))
  const faults = noFaults()
  const gateways: SimulatedGateway[] = []
  let started = 0

  const addProcess = (): Pick<SimulatedGateway, 'name' | 'context' | 'gate'> => {
    const number = started++
    const name = `g${number}`
    const gate = createGate()
    const random = createRandom(seed + number)
    const platform = createFaultyPlatform({ store, faults, clock, random, timeoutMs: PLATFORM_TIMEOUT_MS, gate })
    const context = createTestContext({ name, incarnation: '1', clock: gatedClock(clock, gate), platform, seed: seed + number })
    return { name, context, gate }
  }

  const addGateway = (): SimulatedGateway => {
    const { name, context, gate } = addProcess()
    const runner = createFakeRunner({ clock: context.clock, random: context.random, maxRunMs: MAX_RUN_MS, refusedShare, slots: SLOTS })
    let worker: Worker | undefined
    const gateway = { name, context, runner, gate, worker: () => worker }
    startProcess(context, runner, fleet.maxBufferedItems).then(running => { worker = running }, error => { violations.push(String(error)) })
    gateways.push(gateway)
    return gateway
  }

  const running = (): SimulatedGateway[] => gateways.filter(({ gate }) => gate.state() === 'running')
  const fleet = { clock, store, faults, gateways, violations, maxBufferedItems: 1_000, addGateway, addProcess, running }
  return fleet
}

async function startProcess (context: DaemonContext, runner: FakeRunner, maxItems: number): Promise<Worker> {
  const lifecycle = createLifecycleManager({ clock: context.clock })
  const describe = () => ({ address: '', operationsAddress: '', configurationVersion: 1, state: 'serving' as const, heldParts: 0 })
  const heartbeat = await startHeartbeat(context, lifecycle, describe)
  const observer = await startLeaseObserver(context, lifecycle, heartbeat)
  return await startWorker(context, { runner, directory: STATIC_DIRECTORY, heartbeat, observer }, lifecycle, { buffer: { maxItems, maxBytes: MAX_BUFFERED_BYTES } })
}

/** Checks each commit as the table applies it, since a later commit could hide a violation. */
function checkCommit (violations: string[]): CommitListener {
  return ({ writes }, rows) => {
    for (const { key, value } of writes) {
      if (!key.startsWith('part/') || value === null) continue
      const next = JSON.parse(value) as PartRow
      const jobId = key.split('/')[1]
      const jobRow = rows.get(ROW_KEYS.job(jobId))
      const job = jobRow === undefined ? undefined : JSON.parse(jobRow.value) as JobRow
      const before = rows.get(key) === undefined ? undefined : JSON.parse(rows.get(key)?.value ?? '') as PartRow
      if (before !== undefined && next.epoch < before.epoch) violations.push(`epoch of ${key} went down`)
      if (before !== undefined && isPartDone(before)) violations.push(`${key} was written after it was done`)
      const grew = next.segments.length > (before?.segments.length ?? 0)
      if (grew && job?.state !== 'in_progress') violations.push(`results of ${key} were committed to a job that is ${job?.state}`)
    }
  }
}
