/** Tells all daemons by a row of the store that this process is alive. */
import { runInBackground, sleep } from 'anvilarch-utils'
import { memberKey, encodeRecord } from '../jobs/jobRows'
import type { MemberRecord } from '../jobs/types'
import type { RoleContext } from '../roles/types'
import type { StoredRow } from '../store/types'

/**
 * How often the row is written. Items of an agent that is lost wait until its heartbeat has lapsed; nobody waits for that of
 * a gateway, which only tells its address.
 */
const HEARTBEAT_INTERVAL_MS: Readonly<Record<MemberRecord['role'], number>> = { agent: 2000, gateway: 10_000 }

/** After a failed write. */
const HEARTBEAT_RETRY_MS = 300

/** A daemon that has just started does not know the store's clock before its first answer, which comes within some 10 ms. */
const CLOCK_UNKNOWN_RETRY_MS = 30

/** A member is taken to be alive for this many intervals after a write: two may fail in a row. */
const ALIVE_INTERVALS = 3

/** The heartbeat of this process. */
export interface Heartbeat {
  /** Incarnation of this process; a restart has another. */
  incarnation: string
  stop: () => void
}

/** What a heartbeat tells beside the fact that its process runs. */
export type HeartbeatDetails = Pick<MemberRecord, 'eventMs' | 'knownSinceMs'>

/** Options of `startHeartbeat`. */
export interface HeartbeatOptions {
  /** What this process does. */
  role: MemberRecord['role']
  /** Told each row that has been written. */
  onWritten: (row: StoredRow) => void
  /** Asked at each beat with the store's clock; undefined puts the beat off. */
  details?: (storeNowMs: number) => HeartbeatDetails | undefined
}

/**
 * @param context - store and settings
 * @param options - role and details
 * @returns the heartbeat, which starts at once
 */
export function startHeartbeat (context: RoleContext, options: HeartbeatOptions): Heartbeat {
  const controller = new AbortController()
  const incarnation = context.random.between(0, 0x7ffffffe).toString(36)
  const details = options.details ?? (() => ({}))
  runInBackground(context.log, 'heartbeat', () => beat({ ...options, details, context, incarnation, signal: controller.signal }))
  return { incarnation, stop: () => controller.abort() }
}

interface BeatOptions extends Required<HeartbeatOptions> {
  context: RoleContext
  incarnation: string
  signal: AbortSignal
}

async function beat ({ context, role, incarnation, onWritten, details, signal }: BeatOptions): Promise<void> {
  const { store, clock, settings } = context
  while (!signal.aborted) {
    const storeNowMs = store.storeNowMs()
    const told = storeNowMs === undefined ? undefined : details(storeNowMs)
    let written = false
    if (storeNowMs !== undefined && told !== undefined) {
      const record: MemberRecord = {
        name: settings.name,
        role,
        incarnation,
        peerAddress: `${settings.ip}:${settings.peerPort}`,
        failureDomain: settings.failureDomain,
        aliveUntilMs: storeNowMs + ALIVE_INTERVALS * HEARTBEAT_INTERVAL_MS[role],
        ...told
      }
      const row = encodeRecord(memberKey(settings.name), record)
      const outcome = await store.commit({ conditions: [], puts: [row], removes: [] })
      written = outcome.outcome === 'committed'
      if (outcome.outcome === 'committed') onWritten({ ...row, version: outcome.version })
    }
    const retryMs = told === undefined ? CLOCK_UNKNOWN_RETRY_MS : HEARTBEAT_RETRY_MS
    await sleep(clock, written ? HEARTBEAT_INTERVAL_MS[role] : retryMs, signal)
  }
}
