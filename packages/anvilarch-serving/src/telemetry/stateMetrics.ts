/** Gauges of what a process holds and believes, read when somebody asks for the metrics. */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import type { Clock } from 'anvilarch-utils'
import { Gauge, type Registry } from 'prom-client'
import { isClosed, waitingTokens } from '../jobs/jobRecord'
import type { WorkTable } from '../jobs/workTable'

/** What the gauges are read from. */
export interface StateMetricsParts {
  clock: Clock
  work: Pick<WorkTable, 'jobs'>
  /** Local time of the last answer about each followed table. */
  tableAnsweredAtMs: ReadonlyMap<string, number>
}

/** Ends the measuring. */
export interface StateMetrics {
  close: () => void
}

/** The delay of the event loop is sampled this often; each sample wakes the process. */
const LOOP_SAMPLE_MS = 100

const MS_PER_SECOND = 1000
const NS_PER_SECOND = 1e9

/**
 * @param registry - of the process
 * @param parts - what is read
 * @returns a handle that ends the measuring
 */
export function registerStateMetrics (registry: Registry, parts: StateMetricsParts): StateMetrics {
  const registers = [registry]
  const loopDelay = monitorEventLoopDelay({ resolution: LOOP_SAMPLE_MS })
  loopDelay.enable()

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
      const nowMs = parts.clock.nowMs()
      for (const [table, answeredAtMs] of parts.tableAnsweredAtMs) this.set({ table }, (nowMs - answeredAtMs) / MS_PER_SECOND)
    }
  })
  gauge('anvilarch_open_jobs', 'Jobs that are neither finished nor ended', () => openJobs(parts.work).length)
  gauge('anvilarch_waiting_tokens', 'Tokens of items that wait or run, over all jobs', () =>
    openJobs(parts.work).reduce((sum, job) => sum + waitingTokens(job), 0))
  gauge('anvilarch_event_loop_delay_p99_seconds', 'Delay of the event loop since the last reading', () => {
    const delaySeconds = loopDelay.percentile(99) / NS_PER_SECOND
    loopDelay.reset()
    return Math.max(0, delaySeconds - LOOP_SAMPLE_MS / MS_PER_SECOND)
  })
  return { close: () => loopDelay.disable() }
}

type Job = Parameters<typeof waitingTokens>[0]

function openJobs (work: Pick<WorkTable, 'jobs'>): Job[] {
  return [...work.jobs()].map(entry => entry.record).filter(job => !isClosed(job))
}
