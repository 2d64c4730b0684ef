/** Starts items of the held parts as the fleet has room for them. */
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'
import type { ResultBuffer } from './resultBuffer'
import type { LeasedPart } from './leasedPart'

/** What the pump needs. */
export interface ItemDispatcherOptions {
  context: DaemonContext
  runner: RequestRunner
  buffer: ResultBuffer
  parts: () => Iterable<LeasedPart>
}

/** Starts items. */
export interface ItemDispatcher {
  /** Looks soon whether items may be started. Many calls make one look. */
  schedule: () => void
  /** Looks now. */
  dispatch: () => void
}

/** Ends of runs within this time are answered by one look, so that a busy gateway does not wake up for each. */
const COALESCE_DELAY_MS = 10
/** A service without reported room gets one item this often, since a report may be old or missing. */
const UNREPORTED_START_INTERVAL_MS = 1_000
/** An item whose service has no room lets items of other services of its part go first for this long. */
const POSTPONE_MS = 200
/** Items of a part that may be postponed in one look. */
const MAX_POSTPONED = 16

/** Room of one look, by service. */
interface Capacity {
  items: number
  services: Map<string, number>
}

/**
 * @param options - parts and the runner that knows of room
 * @returns a pump at rest
 */
export function createItemDispatcher (options: ItemDispatcherOptions): ItemDispatcher {
  const { context, runner, buffer } = options
  const { clock } = context
  const lastStartMs = new Map<string, number>()
  let isScheduled = false
  let rotation = 0

  const capacityOf = (service: string, capacity: Capacity): number => {
    const known = capacity.services.get(service)
    if (known !== undefined) return known
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
