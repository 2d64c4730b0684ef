/** Gauges for the state of a process, computed when the metrics are scraped. */
import { performance } from 'node:perf_hooks'
import { Gauge, type Registry } from 'prom-client'
import { isClosed, waitingTokens } from '../jobs/jobRecord'
import type { JobRecord } from '../jobs/types'
import type { WorkTable } from '../jobs/workTable'
import type { Configuration } from '../model/types'
import { jobRoute } from '../routing/jobRoute'
import type { TableFreshness } from '../store/tableFreshness'

/** Sources of the gauges. */
export interface StateMetricsParts {
  work: Pick<WorkTable, 'jobs'>
  configuration: () => Configuration | undefined
  /** Age of the local copy of each followed table. */
  freshnessByTable: ReadonlyMap<string, Pick<TableFreshness, 'ageMs'>>
}

const MS_PER_SECOND = 1000

/**
 * Registers the gauges.
 *
 * @param registry - metrics registry of the process
 * @param parts - sources of the gauges
 */
export function registerStateMetrics (registry: Registry, parts: StateMetricsParts): void {
  const registers = [registry]
  let previous = performance.eventLoopUtilization()

  const gauge = (name: string, help: string, read: () => number): void => {
    // prom-client calls `collect` on the gauge itself.
    // eslint-disable-next-line no-new
    new Gauge({ name, help, registers, collect () { this.set(read()) } })
  }
  // eslint-disable-next-line no-new
  new Gauge({
    name: 'anvilarch_table_age_seconds',
    help: 'Since the store last answered about a table that this process follows',
    labelNames: ['table'],
    registers,
    collect () {
      for (const [table, freshness] of parts.freshnessByTable) {
        const ageMs = freshness.ageMs()
        if (ageMs < Infinity) this.set({ table }, ageMs / MS_PER_SECOND)
      }
    }
  })
  gauge('anvilarch_open_jobs', 'Jobs that are neither finished nor ended', () => openJobs(parts.work).length)
  gauge('anvilarch_jobs_without_route', 'Open jobs that match no batch route of the configuration in force, so that no runner may run their items', () => {
    const configuration = parts.configuration()
    return configuration === undefined ? 0 : openJobs(parts.work).filter(job => jobRoute(configuration, job) === undefined).length
  })
  gauge('anvilarch_waiting_tokens', 'Tokens of items that wait or run, over all jobs', () =>
    openJobs(parts.work).reduce((sum, job) => sum + waitingTokens(job), 0))
  // Utilization is measured at no cost. Sampling the delay of the event loop would wake an idle process ten times a second.
  gauge('anvilarch_event_loop_utilization', 'Part of the time since the last reading in which the event loop was busy', () => {
    const current = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(current, previous)
    previous = current
    return utilization
  })
}

function openJobs (work: Pick<WorkTable, 'jobs'>): JobRecord[] {
  return [...work.jobs()].map(entry => entry.record).filter(job => !isClosed(job))
}
