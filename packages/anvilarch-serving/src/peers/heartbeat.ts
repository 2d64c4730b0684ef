/** Writes a heartbeat row to the store, which shows all daemons that this process is alive. */
import { runInBackground, sleep } from 'anvilarch-utils'
import { memberKey, encodeRecord } from '../jobs/jobRows'
import type { MemberRecord } from '../jobs/types'
import type { RoleContext } from '../roles/types'
import type { StoredRow } from '../store/types'

/**
 * Interval between heartbeats. Items of a failed agent wait until its heartbeat expires. Nothing waits for the expiry of a
 * gateway's heartbeat, which only publishes its address.
 */
const HEARTBEAT_INTERVAL_MS: Readonly<Record<MemberRecord['role'], number>> = { agent: 2000, gateway: 10_000 }

/** Delay after a failed write. */
const HEARTBEAT_RETRY_MS = 300

/** Delay while the details are not available. After a start, the store's clock is known some 10 ms later, with its first response. */
const NOT_READY_RETRY_MS = 30

/** A member counts as alive for this many intervals after a write, so that two consecutive writes may fail. */
const ALIVE_INTERVALS = 3

/** The heartbeat of this process. */
export interface Heartbeat {
  /** Id of this run of the process; it changes with each restart. */
  incarnation: string
  stop: () => void
}

/** Optional fields of a heartbeat. */
export type HeartbeatDetails = Pick<MemberRecord, 'eventMs' | 'knownSinceMs'>

/** Options of `startHeartbeat`. */
export interface HeartbeatOptions {
  /** Role of this process. */
  role: MemberRecord['role']
  /** Called with each row that was written. */
  onWritten: (row: StoredRow) => void
  /** Called before each heartbeat with the time of the store's clock; the heartbeat is postponed if it returns undefined. */
  details?: (storeNowMs: number) => HeartbeatDetails | undefined
}

/**
 * @param context - store and settings
 * @param options - role and details
 * @returns the heartbeat, which starts immediately
 */
export function startHeartbeat (context: RoleContext, options: HeartbeatOptions): Heartbeat {
  const controller = new AbortController()
  const incarnation = context.random.between(0, 0x7ffffffe).toString(36)
  const details = options.details ?? (() => ({}))
  runInBackground(context.log, 'heartbeat', () => writeHeartbeats({ ...options, details, context, incarnation, signal: controller.signal }))
  return { incarnation, stop: () => controller.abort() }
}

interface HeartbeatLoopOptions extends Required<HeartbeatOptions> {
  context: RoleContext
  incarnation: string
  signal: AbortSignal
}

async function writeHeartbeats ({ context, role, incarnation, onWritten, details, signal }: HeartbeatLoopOptions): Promise<void> {
  const { store, clock, settings } = context
  while (!signal.aborted) {
    const storeNowMs = store.storeNowMs()
    const detailFields = storeNowMs === undefined ? undefined : details(storeNowMs)
    let written = false
    if (storeNowMs !== undefined && detailFields !== undefined) {
      const record: MemberRecord = {
        name: settings.name,
        role,
        incarnation,
        peerAddress: `${settings.ip}:${settings.peerPort}`,
        failureDomain: settings.failureDomain,
        aliveUntilMs: storeNowMs + ALIVE_INTERVALS * HEARTBEAT_INTERVAL_MS[role],
        ...detailFields
      }
      const row = encodeRecord(memberKey(settings.name), record)
      const outcome = await store.commit({ conditions: [], puts: [row], removes: [] })
      written = outcome.outcome === 'committed'
      if (outcome.outcome === 'committed') onWritten({ ...row, version: outcome.version })
    }
    const retryMs = detailFields === undefined ? NOT_READY_RETRY_MS : HEARTBEAT_RETRY_MS
    await sleep(clock, written ? HEARTBEAT_INTERVAL_MS[role] : retryMs, signal)
  }
}
