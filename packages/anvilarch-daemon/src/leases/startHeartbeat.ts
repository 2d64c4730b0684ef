/** Renews the heartbeat row of this gateway and tracks on its own monotonic clock whether the lease is valid. */
import { randomUUID } from 'node:crypto'
import { type Commit, ROW_KEYS } from 'anvilarch-protocol'
import { type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { leaseTimes } from './leaseTimes'
import type { GatewayDescription, GatewayRow, Heartbeat } from './types'

/** Relative jitter of the renewal interval, so that gateways do not write in lockstep. */
const RENEWAL_JITTER = 0.1

/**
 * Writes the row once, then renews it until the process shuts down. The lease is not held until a write has succeeded, so
 * starting during an outage of the table is not an error.
 *
 * @param context - shared context of the daemon
 * @param lifecycle - stops the renewals and removes the row
 * @param describe - returns the content of the row besides identity and sequence; called at each renewal
 * @returns the lease of this gateway
 */
export async function startHeartbeat (
  context: DaemonContext, lifecycle: LifecycleManager, describe: () => GatewayDescription
): Promise<Heartbeat> {
  const { clock, incarnation, settings } = context
  const times = leaseTimes(settings.gateway.leaseMs)
  const instance = `${settings.name}.${incarnation}`
  const key = ROW_KEYS.gateway(instance)
  const stopping = new AbortController()
  let sequence = 0
  let validUntilMs = Number.NEGATIVE_INFINITY
  let renewedBefore = false
  let lapses = 0
  let loop: Promise<void> | undefined

  const holdsLease = (): boolean => clock.nowMs() < validUntilMs

  const renew = async (): Promise<void> => {
    const sentMs = clock.nowMs()
    const row: GatewayRow = { name: settings.name, incarnation, sequence: ++sequence, ...describe() }
    // The row of an incarnation has a single writer, and a delayed write only restores an older sequence, so no condition is needed.
    const commit: Commit = { commitId: randomUUID(), conditions: [], writes: [{ key, value: JSON.stringify(row) }] }
    await context.platform.table.commit(commit)
    // After a process pause, other gateways may already consider this holder dead. Its commits would be rejected because of
    // their epochs; counting the lapse makes it read its rows again before it does useless work.
    if (renewedBefore && !holdsLease()) lapses += 1
    renewedBefore = true
    validUntilMs = Math.max(validUntilMs, sentMs + times.holderValidMs)
  }

  const tryRenew = async (): Promise<void> => {
    try {
      await renew()
    } catch (error) {
      context.logger.warn('heartbeat was not renewed', { error: String(error), holdsLease: holdsLease() })
    }
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await sleep(clock, context.random.jitter(times.renewalMs, RENEWAL_JITTER), stopping.signal)
      if (!stopping.signal.aborted) await tryRenew()
    }
  }

  const removeRow = async (): Promise<void> => {
    stopping.abort()
    await loop
    validUntilMs = Number.NEGATIVE_INFINITY
    await context.platform.table.commit({ commitId: randomUUID(), conditions: [], writes: [{ key, value: null }] })
  }

  await lifecycle.start({
    name: 'heartbeat',
    start: async () => {
      await tryRenew()
      loop = run()
    },
    stop: removeRow
  })
  return { instance, holdsLease, lapses: () => lapses }
}
