/** Chooses the job whose part this gateway leases next: enough waiting items for each service, and no more. */
import { createHash } from 'node:crypto'
import type { RequestRunner } from '../attempts/types'
import type { DaemonContext } from '../context'
import { batchTargetOf } from './itemRequest'
import type { ActiveRow } from './rows'
import { scheduleOrder } from './scheduleOrder'

/** What a held part means for the choice. */
export interface PartLoad {
  caller: string
  models: readonly string[]
  /** Items that wait to be started. */
  waiting: () => number
}

/** What the choice depends on. */
export interface PartChoiceOptions {
  context: DaemonContext
  runner: RequestRunner
  /** Ranks the callers differently on each gateway. */
  instance: string
  /** The held parts, also those whose items are still being read. */
  parts: () => Iterable<PartLoad>
}

/** Chooses jobs. */
export interface PartChoice {
  maxLeasedParts: number
  /** @returns the job to lease a part of, or undefined when nothing more is wanted */
  next: (jobs: Iterable<ActiveRow>, isDue: (job: ActiveRow) => boolean) => ActiveRow | undefined
  recordServed: (caller: string) => void
}

/** Parts held at once. Each keeps its chunk in memory, so this bounds the memory, whatever the size of the jobs. */
const MAX_LEASED_PARTS = 16

/**
 * @param options - surroundings
 * @returns a choice that has served nobody yet
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
   * A service without room gets one waiting part only. With more, parts that can't start would fill all places, and jobs
   * of other services would stand still behind them.
   */
  const needsMoreItems = (job: ActiveRow, waiting: Map<string, number>): boolean => {
    const services = servicesOf(job.models)
    if (services.length === 0) return true
    return services.some(service => {
      const candidates = runner.freeBatch(service) > 0 ? context.settings.gateway.maxBatchInProgress : 1
      return (waiting.get(service) ?? 0) < candidates
    })
  }

  const leasedPartsOf = (caller: string): number => [...options.parts()].filter(part => part.caller === caller).length

  const hasCapacity = (): boolean => [...options.parts()].length < MAX_LEASED_PARTS

  return {
    maxLeasedParts: MAX_LEASED_PARTS,
    next: (jobs, isDue) => {
      if (!hasCapacity() || context.configuration.current() === undefined) return undefined
      const waiting = waitingByService()
      const wanted = [...jobs].filter(job => isDue(job) && needsMoreItems(job, waiting))
      const order = scheduleOrder({
        jobs: wanted,
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
  const known = ranks.get(caller)
  if (known !== undefined) return known
  const rank = createHash('sha256').update(instance).update('/').update(caller).digest().readUInt32BE(0)
  ranks.set(caller, rank)
  return rank
}
