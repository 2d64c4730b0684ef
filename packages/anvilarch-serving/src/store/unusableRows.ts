/** Reports rows of shared tables that cannot be used, at a bounded rate: their writer may repeat them indefinitely. */
import type { Clock } from 'anvilarch-utils'
import { LRUCache } from 'lru-cache'
import type { EventLog } from '../telemetry/events'
import { createLogRateLimiter, type LogRateLimiter } from '../telemetry/logRateLimiter'
import type { ServingMetrics } from '../telemetry/metrics'
import type { RowProblem } from './rowValues'
import type { StoredRow } from './types'

/** Receives rows that cannot be used. */
export interface UnusableRows {
  /** Counts the row, and logs it unless its key was last logged with the same problem. */
  report: (row: Pick<StoredRow, 'table' | 'key'>, problem: RowProblem) => void
}

/** Options of `createUnusableRows`. */
export interface UnusableRowsOptions {
  clock: Clock
  log: EventLog
  metrics: Pick<ServingMetrics, 'unusableRows'>
}

/** Lines about one table, so that the rows of one do not hide those of another. */
const LINES_PER_SECOND = 2

/** Keys whose last problem is remembered. */
const MAX_KEYS = 1000

/** Reports nothing. */
export const NO_REPORTS: UnusableRows = { report: () => {} }

/**
 * @param options - clock and telemetry
 * @returns a reporter that has reported nothing
 */
export function createUnusableRows ({ clock, log, metrics }: UnusableRowsOptions): UnusableRows {
  const reasons = new LRUCache<string, string>({ max: MAX_KEYS })
  const limiters = new Map<string, LogRateLimiter>()
  const limiterOf = (table: string): LogRateLimiter => {
    const limiter = limiters.get(table) ?? createLogRateLimiter(clock, LINES_PER_SECOND)
    limiters.set(table, limiter)
    return limiter
  }
  return {
    report: ({ table, key }, { field, reason }) => {
      metrics.unusableRows.inc({ table })
      const id = `${table}/${key}`
      const problem = `${field}: ${reason}`
      if (reasons.get(id) === problem || !limiterOf(table).tryAcquire()) return
      reasons.set(id, problem)
      log.error('row cannot be used', { table, key, field, reason })
    }
  }
}
