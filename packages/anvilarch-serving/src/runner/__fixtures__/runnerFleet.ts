/** Several batch runners on a fake clock, each with a scripted engine, sharing one store. */
import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { createJobCache } from '../../jobs/jobCache'
import { endJob, createJobRecord } from '../../jobs/jobRecord'
import { jobKey, memberKey, submissionObject } from '../../jobs/jobRows'
import { changeJob } from '../../jobs/jobStore'
import { createResultReader, type JobResult } from '../../jobs/resultReader'
import { encodeSubmission } from '../../jobs/submission'
import type { JobItem, JobRecord } from '../../jobs/types'
import type { Configuration, Endpoint } from '../../model/types'
import type { MetadataStore } from '../../store/types'
import { createServingMetrics } from '../../telemetry/metrics'
import { type BatchRunner, startBatchRunner } from '../batchRunner'
import { createPaceMeter } from '../paceMeter'
import { createRunTimeEstimator } from '../runTimeEstimator'
import { CONFIGURATION, configurationWith, WIRE } from './jobRoute'
import { type CallOutcome, createMemoryStore, type MemoryStore } from './memoryStore'
import { createProcessClock, type ProcessClock } from './processClock'
import { createScriptedEngine, type RunFault, type ScriptedEngine, wholeTextOf } from './scriptedEngine'

/** Faults of calls and runs; each entry applies to one call or run, and there are no faults after the last. */
export interface FleetScript {
  eventCounts: readonly number[]
  /** Numbers of the agents whose engines end all streams with their connections. */
  unframedEngines?: readonly number[]
  calls: CallOutcome[]
  runs: RunFault[]
  /** Time until the job expires; longer than any test by default. */
  expiryMs?: number
}

/** A runner and its local engine. */
export interface FleetAgent {
  runner: BatchRunner
  engine: ScriptedEngine
  /** Ends the process immediately and starts another in its place. */
  replace: () => void
  /** Stops the process, which saves its items, and starts another in its place. */
  stop: () => Promise<void>
  /** Sets whether the agent counts as alive in the store; its process runs in either case. */
  setAlive: (alive: boolean) => void
  /** Sets the number of online requests at the engine. */
  setOnline: (requests: number) => void
  setReady: (ready: boolean) => void
  /** Terminates the engine permanently: its connections break, it responds to nothing and its entry is removed. */
  loseEngine: () => void
  /** Replaces the engine by an endpoint of another service at the same address. */
  reuseAddress: (service: string) => void
  /** Sets a fault for all runs at the engine that overrides the script; undefined returns to the script. */
  setFault: (fault: RunFault | undefined) => void
  /** Pauses the process for this long; meanwhile it counts as failed in the store, and its engine keeps running. */
  pauseProcess: (durationMs: number) => void
  /** The local copy of the process receives no changes for this long, and is then listed again. */
  loseHistory: (durationMs: number) => void
}

/** The fleet, with one job. */
export interface RunnerFleet {
  clock: FakeClock
  store: MemoryStore
  agents: FleetAgent[]
  job: () => JobRecord
  /** Moves the route of the job to a service, or removes it. */
  routeTo: (service: string | undefined) => void
  /** Sets what happens when a runner reads the configuration from the store; by default it is as new as the runner's copy. */
  setRefresh: (refresh: () => Promise<boolean>) => void
  /** Ends the job as a client does. */
  endJob: () => void
  /** Sets an outcome for all calls of the store that overrides the script; undefined returns to the script. */
  setCallOutcome: (outcome: CallOutcome | undefined) => void
  /** Ends all faults of the script and of the store. */
  clearFaults: () => void
  results: () => Promise<JobResult[]>
  expectedText: (itemId: string) => string
  /** Error statuses, 500 or 422, that engines sent in place of a stream, by item. */
  statuses: Map<string, number[]>
  /** Runs that engines have begun, with the service of the engine. */
  runs: Array<{ itemId: string, service: string }>
  close: () => void
}

const JOB_ID = 'job'
const SLOTS = 3
const EVENT_INTERVAL_MS = 60
/** The longest exceeds the timeout of a write. */
const LAGS_MS = [15, 300, 1800]

/** As long as a client waits for the job to end. */
const END_TIMEOUT_MS = 1200

/** Small, so that longer texts do not fit into a row. */
const MAX_ROW_BYTES = 400

/** Store time that no test reaches. */
const NEVER_MS = 1e12

/**
 * @param agentCount - number of agents
 * @param script - items and faults
 * @returns a started fleet
 */
export function createRunnerFleet (agentCount: number, script: FleetScript): RunnerFleet {
  const clock = createFakeClock()
  let outcomeOfAllCalls: CallOutcome | undefined
  const store = createMemoryStore(clock, () => outcomeOfAllCalls ?? script.calls.shift() ?? 'done')
  const statuses = new Map<string, number[]>()
  const runs: RunnerFleet['runs'] = []
  let configuration = CONFIGURATION
  let refresh = async (): Promise<boolean> => true
  const items = script.eventCounts.map((_, index): JobItem => ({ id: `item${index}`, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 100 }))
  const eventCount = (itemId: string): number => script.eventCounts[items.findIndex(item => item.id === itemId)]
  store.putObject(submissionObject(JOB_ID), encodeSubmission(items))
  store.put(jobKey(JOB_ID), createJobRecord(items, { jobId: JOB_ID, account: undefined, host: 'h', path: '/jobs', nowMs: 0, dueMs: 600_000, expiryMs: script.expiryMs ?? 900_000, maxAttempts: 3 }))
  const agents = Array.from({ length: agentCount }, (_, index) => {
    const process = createProcessClock(clock)
    let faultOfAllRuns: RunFault | undefined
    const listing = { service: 'models' }
    return createAgent({
      clock: process,
      setFault: fault => { faultOfAllRuns = fault },
      store,
      listing,
      configuration: () => configuration,
      refreshConfiguration: () => refresh(),
      name: `agent${index}`,
      lagMs: LAGS_MS[index % LAGS_MS.length],
      engine: createScriptedEngine({
        clock,
        toReader: process.whenRunning,
        eventIntervalMs: EVENT_INTERVAL_MS,
        eventCount,
        isUnframed: script.unframedEngines?.includes(index) ?? false,
        onRun: itemId => runs.push({ itemId, service: listing.service }),
        nextFault: () => faultOfAllRuns ?? script.runs.shift() ?? { fault: 'none' },
        onStatus: (itemId, status) => statuses.set(itemId, [...statuses.get(itemId) ?? [], status])
      })
    })
  })
  const job = (): JobRecord => JSON.parse(String(store.row(jobKey(JOB_ID))?.value)) as JobRecord
  return {
    clock,
    store,
    agents,
    job,
    routeTo: service => { configuration = configurationWith(service) },
    setRefresh: newRefresh => { refresh = newRefresh },
    endJob: () => {
      const parts = { store: store.client, work: createJobCache(), clock, log: SILENT_LOGGER }
      changeJob(parts, JOB_ID, job => job.ended ? undefined : { next: endJob(job) }, clock.nowMs() + END_TIMEOUT_MS).catch(() => {})
    },
    setCallOutcome: outcome => { outcomeOfAllCalls = outcome },
    clearFaults: () => {
      outcomeOfAllCalls = undefined
      script.calls.length = 0
      script.runs.length = 0
    },
    results: () => readResults(clock, store, job()),
    expectedText: itemId => wholeTextOf(itemId, eventCount(itemId)),
    statuses,
    runs,
    close: () => agents.forEach(agent => agent.runner.halt())
  }
}

/** Reads the results as a gateway does that has just started. */
async function readResults (clock: FakeClock, store: MemoryStore, job: JobRecord): Promise<JobResult[]> {
  const reading = createResultReader(store.client).page(job, 0)
  await clock.advanceAsync(10_000)
  const page = await reading
  if (page.err) throw new Error(page.val.reason)
  return page.val.results
}

interface AgentParts {
  clock: ProcessClock
  store: MemoryStore
  name: string
  lagMs: number
  engine: ScriptedEngine
  /** The engine's entry in the list of endpoints. */
  listing: { service: string }
  configuration: () => Configuration
  refreshConfiguration: () => Promise<boolean>
  setFault: FleetAgent['setFault']
}

function createAgent ({ clock, store, name, lagMs, engine, listing, configuration, refreshConfiguration, setFault }: AgentParts): FleetAgent {
  const { work, loseHistory } = store.replicate(clock, lagMs)
  let incarnation = 0
  let online = 0
  let ready = true
  let alive = true
  let engineLost = false
  let lifetime = new AbortController()
  const writeMember = (): void => store.put(memberKey(name), {
    name, role: 'agent', incarnation: `life${incarnation}`, peerAddress: '10.0.0.1:1', failureDomain: '', aliveUntilMs: alive ? NEVER_MS : clock.nowMs()
  })
  const endpoint = (): Endpoint => ({
    id: name, startId: `${name}@${engine.bornAtMs()}`, bornAtMs: engine.bornAtMs(), service: listing.service, address: name, failureDomain: 'a', softwareVersion: 'v1', slots: SLOTS, state: ready ? 'ready' : 'draining', coldLeftMs: 0, listedVersion: 1
  })
  const start = (): BatchRunner => {
    incarnation++
    writeMember()
    lifetime = new AbortController()
    return startBatchRunner({
      store: withLifetime(store.client, clock, lifetime.signal),
      work,
      clock,
      log: SILENT_LOGGER,
      metrics: createServingMetrics(),
      runner: name,
      incarnation: `life${incarnation}`,
      maxRowBytes: MAX_ROW_BYTES,
      endpoints: { atAddress: () => engineLost ? undefined : endpoint() } as never,
      configuration,
      refreshConfiguration,
      wire: WIRE,
      pool: engine.pool,
      freshPool: engine.freshPool,
      engineAddress: name,
      retentionMs: 900_000,
      membersAgeMs: () => 0,
      readReport: async () => engineLost ? undefined : { running: engine.running() + online, waiting: 0, runs: [], bornAtMs: engine.bornAtMs() },
      runTimeEstimator: createRunTimeEstimator(),
      paceMeter: createPaceMeter()
    })
  }
  const agent: FleetAgent = {
    runner: start(),
    engine,
    replace: () => {
      lifetime.abort()
      agent.runner.halt()
      agent.runner = start()
    },
    stop: async () => {
      const { runner } = agent
      await runner.stop()
      if (agent.runner === runner) agent.replace()
    },
    setAlive: nowAlive => {
      alive = nowAlive
      writeMember()
    },
    setOnline: requests => {
      online = requests
      agent.runner.onUsageReport('gateway', endpoint().startId, requests)
    },
    setReady: nowReady => { ready = nowReady },
    reuseAddress: newService => {
      listing.service = newService
      engine.restart()
    },
    loseEngine: () => {
      engineLost = true
      engine.restart()
    },
    pauseProcess: durationMs => {
      clock.pause(durationMs)
      agent.setAlive(false)
      clock.after(durationMs, () => agent.setAlive(true))
    },
    setFault,
    loseHistory
  }
  return agent
}

/** The store as accessed by one process: no call is sent and no response is received after the process has ended or while it is paused. */
function withLifetime (client: MetadataStore, process: ProcessClock, lifetime: AbortSignal): MetadataStore {
  const whileAlive = async <Answer>(call: () => Promise<Answer>): Promise<Answer> => {
    const answer = lifetime.aborted ? undefined : await call()
    await new Promise<void>(resolve => process.whenRunning(resolve))
    return lifetime.aborted || answer === undefined ? await new Promise<never>(() => {}) : answer
  }
  return {
    ...client,
    commit: transaction => whileAlive(() => client.commit(transaction)),
    readRows: range => whileAlive(() => client.readRows(range)),
    writeObject: (name, bytes) => whileAlive(() => client.writeObject(name, bytes))
  }
}
