/** Metrics of the jobs of one gateway, in addition to those that are shared with other folders. */
import { Counter, Gauge } from 'prom-client'
import type { Metrics } from '../metrics/types'

/** Metrics recorded by the jobs. */
export interface JobMetrics {
  active: Gauge
  bufferedResults: Gauge
  segments: Counter<'outcome'>
  partsEnded: Counter<'end'>
}

const metricsCache = new WeakMap<Metrics, JobMetrics>()

/**
 * @param metrics - metrics of the daemon
 * @returns the metrics of its jobs, created by the first call
 */
export function jobMetrics (metrics: Metrics): JobMetrics {
  const existing = metricsCache.get(metrics)
  if (existing !== undefined) return existing
  const registers = [metrics.registry]
  const created: JobMetrics = {
    active: new Gauge({ name: 'anvilarch_jobs_active', help: 'Jobs of the fleet that have not ended, as this gateway last saw them.', registers }),
    bufferedResults: new Gauge({ name: 'anvilarch_job_results_buffered', help: 'Results of items that wait for their commit.', registers }),
    segments: new Counter({ name: 'anvilarch_job_segment_commits_total', help: 'Commits of result segments, by how the table answered.', labelNames: ['outcome'], registers }),
    partsEnded: new Counter({ name: 'anvilarch_job_parts_ended_total', help: 'Parts that this gateway no longer holds, by reason.', labelNames: ['end'], registers })
  }
  metricsCache.set(metrics, created)
  return created
}
