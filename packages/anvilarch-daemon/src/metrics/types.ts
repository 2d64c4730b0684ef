/** The metrics of a daemon. Each name is documented in docs/OPERATIONS.md. */
import type { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Metrics that the components of a daemon record. */
export interface Metrics {
  registry: Registry
  requestSeconds: Histogram<'class' | 'service' | 'outcome'>
  firstTokenSeconds: Histogram<'class' | 'service'>
  refusals: Counter<'class' | 'reason'>
  clientsLimited: Counter<'reason'>
  retries: Counter<'class' | 'reason'>
  resumptions: Counter<'class'>
  processPauses: Counter
  ejections: Counter<'endpoint'>
  preemptions: Counter<'endpoint'>
  queueDepth: Gauge<'class' | 'endpoint'>
  running: Gauge<'class' | 'endpoint'>
  configurationVersion: Gauge
  invariantViolations: Counter<'name'>
  itemsFinished: Counter<'outcome'>
  partsInProgress: Gauge
  platformCalls: Counter<'service' | 'operation' | 'outcome'>
}
