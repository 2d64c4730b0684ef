/** A lease with at most one holder in the fleet. The epoch of its row is the fencing token of all actions under the lease. */
import { randomUUID } from 'node:crypto'
import type { Row } from 'anvilarch-protocol'
import { invariant, type LifecycleManager, sleep } from 'anvilarch-utils'
import type { DaemonContext } from '../context'
import { leaseTimes } from './leaseTimes'
import type { Heartbeat, LeaseObserver, SingleLease, SingleLeaseRow } from './types'

/** Options of `startSingleLease`. */
export interface SingleLeaseOptions {
  /** Key of the lease row. */
  key: string
  observer: LeaseObserver
  heartbeat: Heartbeat
}

/** Relative jitter of the interval between two polls of the row. */
const POLL_JITTER = 0.2

/** The lease as held by this gateway at the last read of the row. */
interface HeldLease {
  epoch: number
  /** Lapse count of the heartbeat when the row was read. After a later lapse the lease is not used until the row is read again. */
  lapses: number
}

/**
 * @param context - shared context of the daemon
 * @param lifecycle - stops polling and releases the lease
 * @param options - row key, observer and heartbeat
 * @returns the lease, which this gateway may or may not hold
 */
export async function startSingleLease (
  context: DaemonContext, lifecycle: LifecycleManager, options: SingleLeaseOptions
): Promise<SingleLease> {
  const { clock, platform } = context
  const { heartbeat, key, observer } = options
  const times = leaseTimes(context.settings.gateway.leaseMs)
  const stopping = new AbortController()
  let held: HeldLease | undefined
  let highestEpoch = 0
  let loop: Promise<void> | undefined

  const recordEpoch = (epoch: number): void => {
    invariant(epoch >= highestEpoch, 'lease_epoch_grows', () => `row "${key}" went from epoch ${highestEpoch} to ${epoch}`)
    highestEpoch = epoch
  }

  const write = async (row: Row | null, value: SingleLeaseRow): Promise<boolean> => {
    const result = await platform.table.commit({
      commitId: randomUUID(),
      conditions: [{ key, version: row?.version ?? 0 }],
      writes: [{ key, value: JSON.stringify(value) }]
    })
    return result.outcome === 'committed'
  }

  const isFree = (value: SingleLeaseRow | undefined): boolean =>
    value === undefined || value.holder === '' || observer.stateOf(value.holder) === 'dead'

  /** Reads the row and acquires the lease if it is free. An acquisition whose response was lost is detected at the next poll. */
  const poll = async (): Promise<void> => {
    const lapses = heartbeat.lapses()
    const [row] = await platform.table.read([key], stopping.signal)
    const value = row === null ? undefined : JSON.parse(row.value) as SingleLeaseRow
    recordEpoch(value?.epoch ?? highestEpoch)
    if (value?.holder === heartbeat.instance) {
      held = { epoch: value.epoch, lapses }
      return
    }
    held = undefined
    if (!heartbeat.holdsLease() || !isFree(value)) return
    const epoch = highestEpoch + 1
    if (!await write(row, { holder: heartbeat.instance, epoch })) return
    recordEpoch(epoch)
    held = { epoch, lapses }
    context.timeline.record('leases.taken', { detail: { key, epoch } })
  }

  const tryPoll = async (): Promise<void> => {
    try {
      await poll()
    } catch (error) {
      if (!stopping.signal.aborted) context.logger.debug('lease row was not read', { key, error: String(error) })
    }
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await sleep(clock, context.random.jitter(times.renewalMs, POLL_JITTER), stopping.signal)
      if (!stopping.signal.aborted) await tryPoll()
    }
  }

  const release = async (): Promise<void> => {
    stopping.abort()
    await loop
    if (held === undefined) return
    const { epoch } = held
    held = undefined
    const [row] = await platform.table.read([key])
    if (row === null) return
    const value = JSON.parse(row.value) as SingleLeaseRow
    if (value.holder === heartbeat.instance && value.epoch === epoch) await write(row, { holder: '', epoch })
  }

  await lifecycle.start({
    name: `lease ${key}`,
    start: async () => {
      await tryPoll()
      loop = run()
    },
    stop: release
  })
  return {
    epoch: () => {
      if (held === undefined || stopping.signal.aborted) return undefined
      if (!heartbeat.holdsLease() || held.lapses !== heartbeat.lapses()) return undefined
      return held.epoch
    }
  }
}
