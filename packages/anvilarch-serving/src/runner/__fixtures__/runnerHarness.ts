/** A batch runner on a fake clock, with an engine and a store in memory. */
import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { Ok } from 'ts-results'
import type { Pool } from 'undici'
import { createJobRecord } from '../../jobs/jobRecord'
import { CLAIM_TABLE, jobKey, memberKey, encodeRecord } from '../../jobs/jobRows'
import { encodeSubmission } from '../../jobs/submission'
import type { ClaimRecord } from '../../jobs/types'
import { createWorkTable } from '../../jobs/workTable'
import type { Endpoint } from '../../model/types'
import type { MetadataStore } from '../../store/types'
import { createServingMetrics } from '../../telemetry/metrics'
import { type BatchRunner, startBatchRunner } from '../batchRunner'
import { createPaceMeter } from '../paceMeter'
import { createRunTimeEstimator } from '../runTimeEstimator'
import { CONFIGURATION, WIRE } from './jobRoute'

/** A run at the engine. */
export interface EngineRun {
  itemId: string
  startedAtMs: number
  abortedAtMs: number | undefined
}

/** The runner and its environment. */
export interface RunnerHarness {
  clock: FakeClock
  runner: BatchRunner
  runs: EngineRun[]
  /** Items whose claims were released, in order. */
  released: number[]
  /** Online requests that the engine runs or queues. */
  online: { running: number, waiting: number }
  /** Sends a usage report of a gateway: how many of its requests are in progress. */
  reportUsage: (inProgress: number) => void
  runningItems: () => EngineRun[]
  /** Number of times that the engine has been looked up in the list of endpoints. */
  lookupCount: () => number
}

/** Time between two events of a run. */
const EVENT_INTERVAL_MS = 20

const RUNNER = 'agent'
const INCARNATION = 'life'
const ENDPOINT_ADDRESS = '127.0.0.1:1'

/** Handler of an exchange, as undici calls it. */
interface ExchangeHandler {
  onConnect: (abort: () => void) => void
  onHeaders: (status: number, rawHeaders: Buffer[]) => void
  onData: (chunk: Buffer) => void
}

/**
 * @param slots - slots of the engine
 * @param itemCount - items of the only job, each of which runs for longer than a test
 * @param dueMs - time until the job is due
 * @param otherJobs - number of open jobs whose route leads elsewhere
 * @returns a started runner
 */
export function createRunnerHarness (slots: number, itemCount: number, dueMs = 600_000, otherJobs = 0): RunnerHarness {
  const clock = createFakeClock()
  const runs: EngineRun[] = []
  const released: number[] = []
  const online = { running: 0, waiting: 0 }
  const runningItems = (): EngineRun[] => runs.filter(run => run.abortedAtMs === undefined)
  const items = Array.from({ length: itemCount }, (_, index) => ({ id: `item${index}`, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 1000 }))
  const job = createJobRecord(items, { jobId: 'job', host: 'h', path: '/jobs', nowMs: 0, dueMs, expiryMs: 900_000, maxAttempts: 3 })
  const work = createWorkTable()
  work.update({ ...encodeRecord(jobKey('job'), job), version: 1 })
  for (let index = 0; index < otherJobs; index++) {
    const jobId = `other${index}`
    work.update({ ...encodeRecord(jobKey(jobId), { ...job, jobId, host: 'elsewhere' }), version: 1 })
  }
  work.update({
    ...encodeRecord(memberKey(RUNNER), { name: RUNNER, role: 'agent', incarnation: INCARNATION, peerAddress: '10.0.0.1:1', failureDomain: '', aliveUntilMs: Number.MAX_SAFE_INTEGER }),
    version: 1
  })

  let version = 1
  const store: MetadataStore = {
    commit: async ({ puts }) => {
      for (const { table, value } of puts) {
        if (table !== CLAIM_TABLE) continue
        const claim = JSON.parse(value.toString()) as ClaimRecord
        if (!claim.held) released.push(claim.item)
      }
      return { outcome: 'committed', version: ++version }
    },
    readRows: async () => Ok({ rows: [], version }),
    readFeed: async () => Ok({ outcome: 'changes' as const, changes: [], version }),
    writeObject: async () => 'stored',
    readObject: async () => Ok(encodeSubmission(items)),
    removeObject: async () => true,
    storeNowMs: () => clock.nowMs(),
    lastFailureMs: () => undefined,
    lastOutageMs: () => 0,
    answerAgeMs: () => 0
  }

  const dispatch = (options: { headers: string[] }, handler: ExchangeHandler): boolean => {
    const run: EngineRun = { itemId: options.headers[1], startedAtMs: clock.nowMs(), abortedAtMs: undefined }
    runs.push(run)
    queueMicrotask(() => {
      handler.onConnect(() => { run.abortedAtMs ??= clock.nowMs() })
      handler.onHeaders(200, ['content-type', 'text/event-stream', 'transfer-encoding', 'chunked', 'x-id', run.itemId].map(text => Buffer.from(text)))
    })
    let eventId = Number(options.headers[3])
    const next = (): void => {
      if (run.abortedAtMs !== undefined) return
      eventId++
      handler.onData(Buffer.from(`id: ${eventId}\ndata: x\n\n`))
      clock.after(EVENT_INTERVAL_MS, next)
    }
    clock.after(EVENT_INTERVAL_MS, next)
    return true
  }

  let lookupCount = 0
  const atAddress = (): Endpoint => {
    lookupCount++
    return endpointWith(slots)
  }

  const runner = startBatchRunner({
    store,
    work,
    clock,
    log: SILENT_LOGGER,
    metrics: createServingMetrics(),
    runner: RUNNER,
    incarnation: INCARNATION,
    maxRowBytes: 100_000,
    endpoints: { atAddress } as never,
    configuration: () => CONFIGURATION,
    refreshConfiguration: async () => true,
    wire: WIRE,
    pool: { dispatch } as unknown as Pool,
    freshPool: { dispatch } as unknown as Pool,
    engineAddress: ENDPOINT_ADDRESS,
    retentionMs: 900_000,
    membersAgeMs: () => 0,
    readReport: async () => ({ running: runningItems().length + online.running, waiting: online.waiting, runs: [], bornAtMs: undefined }),
    runTimeEstimator: createRunTimeEstimator(),
    paceMeter: createPaceMeter()
  })
  const reportUsage = (inProgress: number): void => runner.onUsageReport('gateway', 'e1', inProgress)
  return { clock, runner, runs, released, online, reportUsage, runningItems, lookupCount: () => lookupCount }
}

function endpointWith (slots: number): Endpoint {
  return { id: 'e1', startId: 'e1', bornAtMs: undefined, service: 'models', address: ENDPOINT_ADDRESS, failureDomain: 'a', softwareVersion: 'v1', slots, state: 'ready', coldLeftMs: 0, listedVersion: 1 }
}
