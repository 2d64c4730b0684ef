/**
 * Determines from the heartbeat rows whether lease holders are alive. Pure: times are passed in.
 *
 * Time counts against a holder only while this observer could read the table and its own renewals succeeded. After an
 * outage every row is outdated; if that counted, all gateways would take over from each other at the same time.
 */
import type { LeaseTimes } from './leaseTimes'
import type { GatewayRow, HolderState } from './types'

/** A heartbeat row as read from the table. */
export interface HeartbeatReading {
  instance: string
  version: number
  row: GatewayRow
}

/** Last row of one gateway, and the time without progress. */
export interface HolderRecord extends HeartbeatReading {
  /** Time counted against the holder since its sequence last increased. */
  inactiveMs: number
}

/** State of the observer. */
export interface ObserverState {
  holders: ReadonlyMap<string, HolderRecord>
  lastScanMs: number | undefined
  /** Instances whose state was requested while they had no known row, with the time of the request. */
  missing: ReadonlyMap<string, { queriedMs: number, isRemoved: boolean }>
}

/** A complete scan of the heartbeat rows. */
export interface ObserverScan {
  readings: HeartbeatReading[]
  /** Time at which the scan was sent. */
  startedMs: number
  /** Whether the observer's own lease was valid at that time. */
  holdsLease: boolean
}

/** Maximum of entries in `missing`; the oldest entry is evicted, and its instance is `unknown` again. */
const MAX_MISSING_INSTANCES = 1_000

/** Initial state, before the first scan. */
export const INITIAL_OBSERVER_STATE: ObserverState = { holders: new Map(), lastScanMs: undefined, missing: new Map() }

/**
 * @param state - state before the scan
 * @param scan - rows read by the scan
 * @param times - lease durations
 * @returns state after the scan
 */
export function afterScan (state: ObserverState, scan: ObserverScan, times: LeaseTimes): ObserverState {
  const countedMs = countedTime(state, scan, times)
  const holders = new Map<string, HolderRecord>()
  for (const reading of scan.readings) {
    const known = state.holders.get(reading.instance)
    const advanced = known === undefined || reading.row.sequence > known.row.sequence
    holders.set(reading.instance, { ...reading, inactiveMs: advanced ? 0 : known.inactiveMs + countedMs })
  }
  const missing = new Map<string, { queriedMs: number, isRemoved: boolean }>()
  for (const [instance, entry] of state.missing) {
    if (holders.has(instance)) continue
    missing.set(instance, { ...entry, isRemoved: entry.isRemoved || entry.queriedMs < scan.startedMs })
  }
  return { holders, lastScanMs: scan.startedMs, missing }
}

/** A gap between two scans counts for at most one renewal interval, since no rows were read in between. */
function countedTime (state: ObserverState, scan: ObserverScan, times: LeaseTimes): number {
  if (state.lastScanMs === undefined || !scan.holdsLease) return 0
  return Math.min(scan.startedMs - state.lastScanMs, times.renewalMs)
}

/**
 * @param state - state of the observer
 * @param instance - instance of the holder
 * @param times - lease durations
 * @returns state of the holder
 */
export function holderState (state: ObserverState, instance: string, times: LeaseTimes): HolderState {
  const record = state.holders.get(instance)
  if (record !== undefined) return record.inactiveMs >= times.observerTimeoutMs ? 'dead' : 'alive'
  return state.missing.get(instance)?.isRemoved === true ? 'dead' : 'unknown'
}

/**
 * Records a query for an instance without a known row. A gateway writes its row before it claims anything, so a scan that
 * was sent after the query and returns no row proves that the row was removed.
 *
 * @param state - state of the observer
 * @param instance - instance of the holder
 * @param nowMs - time of the query
 * @returns state with the query recorded
 */
export function afterQuery (state: ObserverState, instance: string, nowMs: number): ObserverState {
  if (state.holders.has(instance) || state.missing.has(instance)) return state
  const missing = new Map(state.missing)
  const oldest = missing.keys().next()
  if (missing.size >= MAX_MISSING_INSTANCES && oldest.done !== true) missing.delete(oldest.value)
  missing.set(instance, { queriedMs: nowMs, isRemoved: false })
  return { ...state, missing }
}

/**
 * @param state - state of the observer
 * @param times - lease durations
 * @returns rows of gateways that have been dead for the removal time
 */
export function removableRows (state: ObserverState, times: LeaseTimes): HolderRecord[] {
  return [...state.holders.values()].filter(record => record.inactiveMs >= times.removalMs)
}
