/** Starts items of the leased parts as far as the fleet has capacity. */
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { ResultBuffer } from './resultBuffer'
import type { LeasedPart } from './leasedPart'

/** Options of `createItemDispatcher`. */
export interface ItemDispatcherOptions {
  context: DaemonContext
  runner: RequestRunner
  buffer: ResultBuffer
  parts: () => Iterable<LeasedPart>
}

/** Starts items. */
export interface ItemDispatcher {
  /** Schedules a dispatch within `COALESCE_DELAY_MS`; calls in the meantime are merged. */
  schedule: () => void
  /** Starts items now. */
  dispatch: () => void
}

/** Runs that end within this time lead to one dispatch, so that a busy gateway does not dispatch after each run. */
const COALESCE_DELAY_MS = 10
/** A service without reported capacity gets one item per interval, since the report may be outdated or missing. */
const UNREPORTED_START_INTERVAL_MS = 1_000
/** An item whose service has no capacity is postponed this long, so that items of the part for other services are started. */
const POSTPONE_MS = 200
/** Most items of a part that are postponed in one dispatch. */
const MAX_POSTPONED = 16

/** Free capacity during one dispatch. */
interface Capacity {
  items: number
  services: Map<string, number>
}

/**
 * @param options - the leased parts, and the runner that reports free capacity
 * @returns a dispatcher without a scheduled dispatch
 */
export function createItemDispatcher (options: ItemDispatcherOptions): ItemDispatcher {
  const { context, runner, buffer } = options
  const { clock } = context
  const lastStartMs = new Map<string, number>()
  let isScheduled = false
  let rotation = 0

  const capacityOf = (service: string, capacity: Capacity): number => {
    const remaining = capacity.services.get(service)
    if (remaining !== undefined) return remaining
    const freeItems = Math.max(runner.freeBatch(service), isUnreportedStartDue(service) ? 1 : 0)
    capacity.services.set(service, freeItems)
    return freeItems
  }

  const isUnreportedStartDue = (service: string): boolean =>
    clock.nowMs() - (lastStartMs.get(service) ?? Number.NEGATIVE_INFINITY) >= UNREPORTED_START_INTERVAL_MS

  const startFrom = (part: LeasedPart, capacity: Capacity): void => {
    let postponed = 0
    while (capacity.items > 0 && !buffer.isFull()) {
      const ready = part.next()
      if (ready === undefined) return
      const { service } = ready.target
      const freeItems = capacityOf(service, capacity)
      if (freeItems > 0) {
        capacity.items -= 1
        capacity.services.set(service, freeItems - 1)
        lastStartMs.set(service, clock.nowMs())
        part.start(ready)
        continue
      }
      if (!part.isMixed || postponed === MAX_POSTPONED) return
      postponed += 1
      part.postpone(ready, POSTPONE_MS)
    }
  }

  const dispatch = (): void => {
    const parts = [...options.parts()]
    const running = parts.reduce((sum, part) => sum + part.running(), 0)
    const capacity: Capacity = { items: context.settings.gateway.maxBatchInProgress - running, services: new Map() }
    rotation += 1
    for (let step = 0; step < parts.length; step++) startFrom(parts[(rotation + step) % parts.length], capacity)
  }

  return {
    schedule: () => {
      if (isScheduled) return
      isScheduled = true
      clock.after(COALESCE_DELAY_MS, () => {
        isScheduled = false
        dispatch()
      })
    },
    dispatch
  }
}
