/** Tells all daemons by a row of the store that this process is alive. */
import { runInBackground, sleep } from 'anvilarch-utils'
import { memberKey, recordRow } from '../jobs/jobRows'
import type { MemberRecord } from '../jobs/types'
import type { RoleContext } from '../roles/types'

/** How often the row is written. */
const HEARTBEAT_INTERVAL_MS = 2000

/** After a failed write. */
const HEARTBEAT_RETRY_MS = 300

/** A member is taken to be alive for this long after a write: two may fail in a row. */
const ALIVE_MS = 6000

/** The heartbeat of this process. */
export interface Heartbeat {
  /** Incarnation of this process; a restart has another. */
  incarnation: string
  stop: () => void
}

/** What a heartbeat tells beside the fact that its process runs. */
export type HeartbeatDetails = Pick<MemberRecord, 'eventMs'>

/**
 * @param context - store and settings
 * @param role - what this process does
 * @param details - asked at each beat
 * @returns the heartbeat, which starts at once
 */
export function startHeartbeat (context: RoleContext, role: MemberRecord['role'], details: () => HeartbeatDetails = () => ({})): Heartbeat {
  const controller = new AbortController()
  const incarnation = context.random.between(0, 0x7ffffffe).toString(36)
  runInBackground(context.log, 'heartbeat', () => beat({ context, role, incarnation, details, signal: controller.signal }))
  return { incarnation, stop: () => controller.abort() }
}

interface BeatOptions {
  context: RoleContext
  role: MemberRecord['role']
  incarnation: string
  details: () => HeartbeatDetails
  signal: AbortSignal
}

async function beat ({ context, role, incarnation, details, signal }: BeatOptions): Promise<void> {
  const { store, clock, settings } = context
  while (!signal.aborted) {
    const storeNowMs = store.storeNowMs()
    let written = false
    if (storeNowMs !== undefined) {
      const record: MemberRecord = {
        name: settings.name,
        role,
        incarnation,
        peerAddress: `${settings.ip}:${settings.peerPort}`,
        failureDomain: settings.failureDomain,
        aliveUntilMs: storeNowMs + ALIVE_MS,
        ...details()
      }
      const outcome = await store.commit({ conditions: [], puts: [recordRow(memberKey(settings.name), record)], removes: [] })
      written = outcome.outcome === 'committed'
    }
    await sleep(clock, written ? HEARTBEAT_INTERVAL_MS : HEARTBEAT_RETRY_MS, signal)
  }
}
