/** Scans the heartbeat rows periodically and determines on this gateway's monotonic clock which gateways are alive. */
import { randomUUID } from 'node:crypto'
import { ROW_KEYS, type Row } from 'anvilarch-protocol'
import { type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { createUnusableRowLog, isCount, isString, readRowValue, type RowChecks } from '../platform/readRowValue'
import { leaseTimes } from './leaseTimes'
import {
  afterQuery, afterScan, type HeartbeatReading, type HolderRecord, holderState, INITIAL_OBSERVER_STATE, removableRows
} from './observerCore'
import type { GatewayRow, Heartbeat, LeaseObserver } from './types'

const ROW_CHECKS: RowChecks<GatewayRow> = { name: isString, incarnation: isString, sequence: isCount, address: isString, operationsAddress: isString }

/** Maximum of rows in one page of the scan. */
const SCAN_LIMIT = 500

/** Relative jitter of the scan interval, so that gateways do not read in lockstep. */
const SCAN_JITTER = 0.2

/**
 * @param context - shared context of the daemon
 * @param lifecycle - stops the scans
 * @param heartbeat - lease of this gateway; while it is not valid, no time counts against other gateways
 * @returns the observer, after its first scan
 */
export async function startLeaseObserver (
  context: DaemonContext, lifecycle: LifecycleManager, heartbeat: Heartbeat
): Promise<LeaseObserver> {
  const { clock, platform } = context
  const times = leaseTimes(context.settings.gateway.leaseMs)
  const stopping = new AbortController()
  let state = INITIAL_OBSERVER_STATE
  let loop: Promise<void> | undefined
  const reportUnusable = createUnusableRowLog(context.logger)

  /** A row that cannot be used is no progress of its gateway, whose last row still counts until the lease has lapsed. */
  const toReading = (row: Row): HeartbeatReading | undefined => {
    const instance = row.key.slice(ROW_KEYS.gateways.length)
    const value = readRowValue(row, ROW_CHECKS)
    if (value === undefined) reportUnusable(row)
    const known = value ?? state.holders.get(instance)?.row
    return known && { instance, version: row.version, row: known }
  }

  const readAll = async (): Promise<HeartbeatReading[]> => {
    const readings: HeartbeatReading[] = []
    let after: string | undefined
    do {
      const page = await platform.table.scan(ROW_KEYS.gateways, { after, limit: SCAN_LIMIT }, stopping.signal)
      readings.push(...page.rows.flatMap(row => toReading(row) ?? []))
      after = page.next
    } while (after !== undefined)
    return readings
  }

  const removeRow = async (record: HolderRecord): Promise<void> => {
    const key = ROW_KEYS.gateway(record.instance)
    await platform.table.commit({
      commitId: randomUUID(), conditions: [{ key, version: record.version }], writes: [{ key, value: null }]
    })
  }

  const scan = async (): Promise<boolean> => {
    const startedMs = clock.nowMs()
    const holdsLease = heartbeat.holdsLease()
    try {
      const readings = await readAll()
      state = afterScan(state, { readings, startedMs, holdsLease }, times)
      for (const record of removableRows(state, times)) await removeRow(record)
      return true
    } catch (error) {
      if (!stopping.signal.aborted) context.logger.debug('heartbeats were not read', { error: String(error) })
      return false
    }
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await sleep(clock, context.random.jitter(context.settings.gateway.pollIntervalMs, SCAN_JITTER), stopping.signal)
      if (!stopping.signal.aborted) await scan()
    }
  }

  await lifecycle.start({
    name: 'lease observer',
    start: async () => {
      await scan()
      loop = run()
    },
    stop: async () => {
      stopping.abort()
      await loop
    }
  })
  return {
    stateOf: instance => {
      if (instance === heartbeat.instance) return 'alive'
      state = afterQuery(state, instance, clock.nowMs())
      return holderState(state, instance, times)
    },
    list: () => [...state.holders.values()].map(record => ({
      instance: record.instance, row: record.row, state: holderState(state, record.instance, times)
    })),
    scan
  }
}
