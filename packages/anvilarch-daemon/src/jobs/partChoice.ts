/** Chooses the job of which this gateway claims a part next, so that each service has enough waiting items and no more. */
import { createHash } from 'node:crypto'
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'
import { batchTargetOf } from './itemRequest'
import type { ActiveRow } from './rows'
import { scheduleOrder } from './scheduleOrder'

/** What the choice depends on of a leased part. */
export interface PartLoad {
  caller: string
  models: readonly string[]
  /** Number of items waiting to be started. */
  waiting: () => number
}

/** Options of `createPartChoice`. */
export interface PartChoiceOptions {
  context: DaemonContext
  runner: RequestRunner
  /** Instance of this gateway, so that callers rank differently on each gateway. */
  instance: string
  /** The leased parts, including those whose items are still loading. */
  parts: () => Iterable<PartLoad>
}

/** Chooses jobs, and records which callers were served. */
export interface PartChoice {
  maxLeasedParts: number
  /** @returns the job to claim a part of, or undefined when no more parts are needed */
  next: (jobs: Iterable<ActiveRow>, isDue: (job: ActiveRow) => boolean) => ActiveRow | undefined
  recordServed: (caller: string) => void
}

/** Most parts leased at once. Each keeps its chunk in memory, so that memory is bounded whatever the size of the jobs. */
const MAX_LEASED_PARTS = 16

/**
 * @param options - dependencies and the leased parts
 * @returns a choice that has not served any caller
 */
export function createPartChoice (options: PartChoiceOptions): PartChoice {
  const { context, runner } = options
  const lastServed = new Map<string, number>()
  const ranks = new Map<string, number>()
  let served = 0

  const servicesOf = (models: readonly string[]): string[] => {
    const document = context.configuration.current()?.document
    if (document === undefined) return []
    return models.flatMap(model => batchTargetOf(document, model)?.service ?? [])
  }

  const waitingByService = (): Map<string, number> => {
    const waiting = new Map<string, number>()
    for (const part of options.parts()) {
      for (const service of servicesOf(part.models)) waiting.set(service, (waiting.get(service) ?? 0) + part.waiting())
    }
    return waiting
  }

  /**
   * A service without free capacity gets one waiting part only. With more, parts that cannot start would use up
   * `MAX_LEASED_PARTS`, and jobs of other services would be blocked behind them.
   */
  const needsMoreItems = (job: ActiveRow, waiting: Map<string, number>): boolean => {
    const services = servicesOf(job.models)
    if (services.length === 0) return true
    return services.some(service => {
      const targetItems = runner.freeBatch(service) > 0 ? context.settings.gateway.maxBatchInProgress : 1
      return (waiting.get(service) ?? 0) < targetItems
    })
  }

  const leasedPartsOf = (caller: string): number => [...options.parts()].filter(part => part.caller === caller).length

  const hasCapacity = (): boolean => [...options.parts()].length < MAX_LEASED_PARTS

  return {
    maxLeasedParts: MAX_LEASED_PARTS,
    next: (jobs, isDue) => {
      if (!hasCapacity() || context.configuration.current() === undefined) return undefined
      const waiting = waitingByService()
      const candidates = [...jobs].filter(job => isDue(job) && needsMoreItems(job, waiting))
      const order = scheduleOrder({
        jobs: candidates,
        wallMs: context.clock.wallMs(),
        leasedPartsOf,
        lastServed: caller => lastServed.get(caller) ?? 0,
        callerRank: caller => rankOf(ranks, options.instance, caller)
      })
      return order[0]
    },
    recordServed: caller => { lastServed.set(caller, ++served) }
  }
}

function rankOf (ranks: Map<string, number>, instance: string, caller: string): number {
  const cached = ranks.get(caller)
  if (cached !== undefined) return cached
  const rank = createHash('sha256').update(instance).update('/').update(caller).digest().readUInt32BE(0)
  ranks.set(caller, rank)
  return rank
}
