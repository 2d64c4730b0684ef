/** Batch runners side by side on a fake clock, each with a scripted engine, with one store. */
import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { createJobCache } from '../../jobs/jobCache'
import { endJob, createJobRecord } from '../../jobs/jobRecord'
import { jobKey, memberKey, submissionObject } from '../../jobs/jobRows'
import { changeJob } from '../../jobs/jobStore'
import { createResultReader, type JobResult } from '../../jobs/resultReader'
import { encodeSubmission } from '../../jobs/submission'
import type { JobItem, JobRecord } from '../../jobs/types'
import type { Endpoint } from '../../model/types'
import type { MetadataStore } from '../../store/types'
import { createServingMetrics } from '../../telemetry/metrics'
import { type BatchRunner, startBatchRunner } from '../batchRunner'
import { createRunTimeEstimator } from '../runTimeEstimator'
import { CONFIGURATION, WIRE } from './jobRoute'
import { type CallOutcome, createMemoryStore, type MemoryStore } from './memoryStore'
import { createProcessClock, type ProcessClock } from './processClock'
import { createScriptedEngine, type RunFault, type ScriptedEngine, wholeTextOf } from './scriptedEngine'

/** What goes wrong; each entry is used up by one call or run, and nothing goes wrong after the last. */
export interface FleetScript {
  eventCounts: readonly number[]
  calls: CallOutcome[]
  runs: RunFault[]
}

/** A runner and the engine beside it. */
export interface FleetAgent {
  runner: BatchRunner
  engine: ScriptedEngine
  /** The process ends at once; another takes its place. */
  replace: () => void
  /** The process saves its items and ends; another takes its place. */
  stop: () => Promise<void>
  /** Whether the store takes the agent for alive; its process goes on all the same. */
  setAlive: (heard: boolean) => void
  /** Requests of online clients at the engine. */
  setOnline: (requests: number) => void
  setReady: (ready: boolean) => void
  /** All runs at the engine go wrong so, before the script is asked; undefined follows the script again. */
  setFault: (trouble: RunFault | undefined) => void
  /** The process stands still for so long, and the store takes it for dead meanwhile; its engine goes on. */
  freeze: (durationMs: number) => void
  /** What the process has copied is out of date for so long, and listed anew then. */
  loseHistory: (durationMs: number) => void
}

/** The fleet, with one job. */
export interface RunnerFleet {
  clock: FakeClock
  store: MemoryStore
  agents: FleetAgent[]
  job: () => JobRecord
  /** A client ends the job. */
  endJob: () => void
  /** All calls of the store end so; undefined follows the script again. */
  setCallOutcome: (fate: CallOutcome | undefined) => void
  /** Nothing goes wrong any more. */
  clearFaults: () => void
  results: () => Promise<JobResult[]>
  expectedText: (itemId: string) => string
  /** Answers 500 and 422 by item. */
  statuses: Map<string, number[]>
  close: () => void
}

const JOB_ID = 'job'
const SLOTS = 3
const EVENT_INTERVAL_MS = 60
/** The longest outlasts a write that is given up. */
const LAGS_MS = [15, 300, 1800]

/** As long as a client waits for the end. */
const END_PATIENCE_MS = 1200

/** Small, so that the longer texts do not fit into a row. */
const MAX_ROW_BYTES = 400

/** Store time that no test reaches. */
const NEVER_MS = 1e12

/**
 * @param agentCount - agents
 * @param script - items and troubles
 * @returns a fleet at work
 */
export function createRunnerFleet (agentCount: number, script: FleetScript): RunnerFleet {
  const clock = createFakeClock()
  let fateOfAll: CallOutcome | undefined
  const store = createMemoryStore(clock, () => fateOfAll ?? script.calls.shift() ?? 'done')
  const statuses = new Map<string, number[]>()
  const items = script.eventCounts.map((_, index): JobItem => ({ id: `item${index}`, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 100 }))
  const eventCount = (itemId: string): number => script.eventCounts[items.findIndex(item => item.id === itemId)]
  store.putObject(submissionObject(JOB_ID), encodeSubmission(items))
  store.put(jobKey(JOB_ID), createJobRecord(items, { jobId: JOB_ID, account: undefined, host: 'h', path: '/jobs', nowMs: 0, dueMs: 600_000, expiryMs: 900_000, maxAttempts: 3 }))
  const agents = Array.from({ length: agentCount }, (_, index) => {
    const process = createProcessClock(clock)
    let troubleOfAll: RunFault | undefined
    return createAgent({
      clock: process,
      setTrouble: trouble => { troubleOfAll = trouble },
      store,
      name: `agent${index}`,
      lagMs: LAGS_MS[index % LAGS_MS.length],
      engine: createScriptedEngine({
        clock,
        toReader: process.whenRunning,
        eventIntervalMs: EVENT_INTERVAL_MS,
        eventCount,
        nextFault: () => troubleOfAll ?? script.runs.shift() ?? { trouble: 'none' },
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
    endJob: () => {
      const parts = { store: store.client, work: createJobCache(), clock, log: SILENT_LOGGER }
      changeJob(parts, JOB_ID, job => job.ended ? undefined : { next: endJob(job) }, clock.nowMs() + END_PATIENCE_MS).catch(() => {})
    },
    setCallOutcome: fate => { fateOfAll = fate },
    clearFaults: () => {
      fateOfAll = undefined
      script.calls.length = 0
      script.runs.length = 0
    },
    results: () => readResults(clock, store, job()),
    expectedText: itemId => wholeTextOf(itemId, eventCount(itemId)),
    statuses,
    close: () => agents.forEach(agent => agent.runner.halt())
  }
}

/** As a gateway reads them that has just started. */
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
  setTrouble: FleetAgent['setFault']
}

function createAgent ({ clock, store, name, lagMs, engine, setTrouble }: AgentParts): FleetAgent {
  const { work, loseHistory } = store.replicate(clock, lagMs)
  let incarnation = 0
  let online = 0
  let ready = true
  let heard = true
  let life = new AbortController()
  const tellStore = (): void => store.put(memberKey(name), {
    name, role: 'agent', incarnation: `life${incarnation}`, peerAddress: '', failureDomain: '', aliveUntilMs: heard ? NEVER_MS : clock.nowMs()
  })
  const endpoint = (): Endpoint => ({
    id: name, startId: `${name}@${engine.bornAtMs()}`, bornAtMs: engine.bornAtMs(), service: 'models', address: name, failureDomain: 'a', slots: SLOTS, state: ready ? 'ready' : 'draining', coldLeftMs: 0, listedVersion: 1
  })
  const start = (): BatchRunner => {
    incarnation++
    tellStore()
    life = new AbortController()
    return startBatchRunner({
      store: endingWith(store.client, clock, life.signal),
      work,
      clock,
      log: SILENT_LOGGER,
      metrics: createServingMetrics(),
      runner: name,
      incarnation: `life${incarnation}`,
      maxRowBytes: MAX_ROW_BYTES,
      endpoints: { atAddress: endpoint } as never,
      configuration: () => CONFIGURATION,
      wire: WIRE,
      pool: engine.pool,
      freshPool: engine.freshPool,
      engineAddress: name,
      service: 'models',
      retentionMs: 900_000,
      membersListedAtMs: () => clock.nowMs(),
      readReport: async () => ({ running: engine.running() + online, waiting: 0, bornAtMs: engine.bornAtMs() }),
      runTimeEstimator: createRunTimeEstimator()
    })
  }
  const agent: FleetAgent = {
    runner: start(),
    engine,
    replace: () => {
      life.abort()
      agent.runner.halt()
      agent.runner = start()
    },
    stop: async () => {
      const { runner } = agent
      await runner.stop()
      if (agent.runner === runner) agent.replace()
    },
    setAlive: nowHeard => {
      heard = nowHeard
      tellStore()
    },
    setOnline: requests => {
      online = requests
      agent.runner.onUsageReport('gateway', endpoint().startId, requests)
    },
    setReady: nowReady => { ready = nowReady },
    freeze: durationMs => {
      clock.freeze(durationMs)
      agent.setAlive(false)
      clock.after(durationMs, () => agent.setAlive(true))
    },
    setFault: setTrouble,
    loseHistory
  }
  return agent
}

/** The store as a process has it: nothing is sent, and no answer is heard, once that process has ended or while it stands still. */
function endingWith (client: MetadataStore, process: ProcessClock, life: AbortSignal): MetadataStore {
  const whileAlive = async <Answer>(call: () => Promise<Answer>): Promise<Answer> => {
    const answer = life.aborted ? undefined : await call()
    await new Promise<void>(resolve => process.whenRunning(resolve))
    return life.aborted || answer === undefined ? await new Promise<never>(() => {}) : answer
  }
  return {
    ...client,
    commit: transaction => whileAlive(() => client.commit(transaction)),
    readRows: range => whileAlive(() => client.readRows(range)),
    writeObject: (name, bytes) => whileAlive(() => client.writeObject(name, bytes))
  }
}
