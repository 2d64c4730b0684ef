/** The agent role: runs batch items on the engine of its host and reports the load of that engine to gateways. */
import { openPeerSocket, type PeerAddress } from '../endpoints/peerSocket'
import type { PeerMessage } from '../endpoints/peerMessages'
import { startExchange } from '../endpoints/exchange'
import { createPool, type Pool } from '../endpoints/httpPool'
import { startPeriodicLog } from '../telemetry/periodicLog'
import { startHeartbeat } from '../peers/heartbeat'
import { CLAIM_TABLE, JOB_TABLE, MEMBER_TABLE } from '../jobs/jobRows'
import { JOB_PARTITIONS } from '../jobs/partitions'
import { startBatchRunner } from '../runner/batchRunner'
import { createPaceMeter } from '../runner/paceMeter'
import { createRunTimeEstimator } from '../runner/runTimeEstimator'
import { followPlatform } from './followPlatform'
import type { EngineReport, EngineWire, RoleContext, RunningRole } from './types'
import { type Clock, createByteCollector, createInactivityTimeout } from 'anvilarch-utils'
import { once } from './once'

/** The engine is on the same host; an engine that takes longer to report is down or unresponsive. */
const REPORT_TIMEOUT_MS = 300

/** Limit on a report: some 100 bytes for each run of the engine. */
const MAX_REPORT_BYTES = 1024 * 1024

/** Interval of member listings while other agents have claimed items. Delays the detection of a lost claim holder by up to this time. */
const BUSY_MEMBERS_INTERVAL_MS = 2000

/** Interval of member listings while no other agent has claimed an item. */
const IDLE_MEMBERS_INTERVAL_MS = 10_000

/**
 * Batching interval for changes of jobs and claims. A stale copy is safe: when an agent claims an item, the store returns any newer row
 * as a conflict. The interval is limited because a job that has ended must stop within seconds.
 */
const FEED_INTERVAL_MS = 800

/** Batching interval while the agent has free slots and no items for them, so that a new job starts sooner. */
const SPARE_SLOTS_FEED_INTERVAL_MS = 200

/** Connections to the engine. Each running item and each report takes one. */
const ENGINE_CONNECTIONS = 32

/**
 * Starts the agent role.
 *
 * @param context - settings, store and wire
 * @returns the running agent
 * @throws Error if the settings contain no agent section
 */
export async function startAgentRole (context: RoleContext): Promise<RunningRole> {
  const { settings, clock, log } = context
  const agent = settings.agent
  if (agent === undefined) throw new Error('the agent role requires the address of an engine')
  let othersHoldClaims = (): boolean => false
  const view = followPlatform(context, { memberListingIntervalMs: () => othersHoldClaims() ? BUSY_MEMBERS_INTERVAL_MS : IDLE_MEMBERS_INTERVAL_MS })
  let hasUnfilledSlots = (): boolean => false
  const feedIntervalMs = (): number => hasUnfilledSlots() ? SPARE_SLOTS_FEED_INTERVAL_MS : FEED_INTERVAL_MS
  view.follow({ table: JOB_TABLE, partitions: JOB_PARTITIONS, listener: view.work.listeners.jobs, intervalMs: feedIntervalMs })
  view.follow({ table: CLAIM_TABLE, partitions: JOB_PARTITIONS, listener: view.work.listeners.claims, intervalMs: feedIntervalMs })
  const closing = new AbortController()
  const runTimeEstimator = createRunTimeEstimator()
  const heartbeat = startHeartbeat(context, { role: 'agent', onWritten: view.work.update, details: () => ({ eventMs: runTimeEstimator.eventIntervalMs() }) })
  const poolOptions = { connections: ENGINE_CONNECTIONS, connectTimeout: REPORT_TIMEOUT_MS, headersTimeout: 0, bodyTimeout: 0 }
  const pool = createPool(`http://${agent.engineAddress}`, { ...poolOptions, pipelining: 1 })
  // With `pipelining: 0`, undici closes a connection after its first response.
  const freshPool = createPool(`http://${agent.engineAddress}`, { ...poolOptions, pipelining: 0 })
  const runner = startBatchRunner({
    store: context.store,
    work: view.work,
    clock,
    log: log.child('runner'),
    metrics: context.metrics,
    runner: settings.name,
    incarnation: heartbeat.incarnation,
    maxRowBytes: settings.maxRowBytes,
    endpoints: view.endpoints,
    configuration: view.configuration.current,
    refreshConfiguration: view.refreshConfiguration,
    wire: context.wire,
    pool,
    freshPool,
    engineAddress: agent.engineAddress,
    retentionMs: settings.retentionMs,
    membersAgeMs: view.freshness(MEMBER_TABLE).ageMs,
    readReport: () => readReport(pool, context.wire.engine, clock),
    runTimeEstimator,
    paceMeter: createPaceMeter()
  })
  othersHoldClaims = runner.othersHoldClaims
  hasUnfilledSlots = runner.hasUnfilledSlots
  const onMessage = (message: PeerMessage, from: PeerAddress): void => {
    if (message.message === 'load_probe') peers.send({ message: 'load_response', correlationId: message.correlationId, report: runner.load() }, from)
    else if (message.message === 'usage_report') runner.onUsageReport(`${from.ip}:${from.port}`, message.startId, message.inProgress)
  }
  const peers = openPeerSocket({ clock, log, own: { ip: settings.ip, port: settings.peerPort }, onMessage })
  startPeriodicLog({ clock, log, event: 'engine use', read: runner.slotUsage, signal: closing.signal })
  const close = once(async () => {
    closing.abort()
    runner.halt()
    heartbeat.stop()
    view.close()
    peers.close()
    await Promise.all([pool.destroy(), freshPool.destroy()])
  })
  return {
    stop: once(async () => {
      await runner.stop()
      await close()
    }),
    close
  }
}

/**
 * @param pool - connections to the engine
 * @param wire - path and decoder of reports
 * @param clock - clock for the timeout
 * @returns the report; undefined if there is none in time or it is not usable
 */
export function readReport (pool: Pool, wire: EngineWire, clock: Clock): Promise<EngineReport | undefined> {
  return new Promise(resolve => {
    const received = createByteCollector()
    let status = 0
    const exchange = startExchange(pool, { method: 'GET', path: wire.reportPath, headers: [], body: undefined }, {
      onHead: responseStatus => { status = responseStatus },
      onData: chunk => {
        received.append(chunk)
        if (received.length() > MAX_REPORT_BYTES) {
          exchange.abort()
          settle(undefined)
        }
      },
      onComplete: () => settle(status === 200 ? wire.decodeReport(received.bytes()) : undefined),
      onFailure: () => settle(undefined)
    })
    const timeout = createInactivityTimeout({
      clock,
      timeoutMs: REPORT_TIMEOUT_MS,
      onTimeout: () => {
        exchange.abort()
        settle(undefined)
      }
    })
    const settle = (report: EngineReport | undefined): void => {
      timeout.cancel()
      resolve(report)
    }
  })
}
