/** Creates the metrics of a daemon in a separate registry. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { Metrics } from './types'

/** Buckets of the request histograms in seconds, from a lookup within a host to a long stream. */
const REQUEST_BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.2, 2.5, 5, 10, 30, 60, 300]
/** Sampling interval of the event-loop delay; a shorter one would wake an idle daemon more often. */
const EVENT_LOOP_SAMPLE_MS = 20

/** Options of `createMetrics`. */
export interface MetricsOptions {
  /** Also report CPU time, memory and event-loop delay of the process. */
  processMetrics: boolean
}

/** Defaults of `createMetrics`. */
export const DEFAULT_OPTIONS: MetricsOptions = { processMetrics: false }

/**
 * @param options - whether to include metrics of the process itself
 * @returns all metrics, at zero
 */
export function createMetrics (options: MetricsOptions = DEFAULT_OPTIONS): Metrics {
  const registry = new Registry()
  const registers = [registry]
  if (options.processMetrics) collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS })
  return {
    registry,
    requestSeconds: new Histogram({ name: 'anvilarch_request_seconds', help: 'Time from the arrival of a request to its end.', labelNames: ['class', 'service', 'outcome'], buckets: REQUEST_BUCKETS_SECONDS, registers }),
    firstTokenSeconds: new Histogram({ name: 'anvilarch_first_token_seconds', help: 'Time from the arrival of a request to its first output.', labelNames: ['class', 'service'], buckets: REQUEST_BUCKETS_SECONDS, registers }),
    refusals: new Counter({ name: 'anvilarch_refusals_total', help: 'Work that was refused, by reason.', labelNames: ['class', 'reason'], registers }),
    clientsLimited: new Counter({ name: 'anvilarch_clients_limited_total', help: 'Connections that were closed and requests that were refused because clients take all that there is for them, by reason.', labelNames: ['reason'], registers }),
    retries: new Counter({ name: 'anvilarch_retries_total', help: 'Attempts after the first of a request, by reason.', labelNames: ['class', 'reason'], registers }),
    resumptions: new Counter({ name: 'anvilarch_resumptions_total', help: 'Attempts read again over a new connection.', labelNames: ['class'], registers }),
    processPauses: new Counter({ name: 'anvilarch_own_pauses_total', help: 'Times that this process stood still when it should have listened to a peer, and so did not judge it.', registers }),
    ejections: new Counter({ name: 'anvilarch_endpoint_ejections_total', help: 'Times that an endpoint was asked no more for a while, since it failed far more than the others.', labelNames: ['endpoint'], registers }),
    preemptions: new Counter({ name: 'anvilarch_preemptions_total', help: 'Batch attempts that gave way to online work.', labelNames: ['endpoint'], registers }),
    queueDepth: new Gauge({ name: 'anvilarch_queue_depth', help: 'Work that waits for a slot.', labelNames: ['class', 'endpoint'], registers }),
    running: new Gauge({ name: 'anvilarch_running', help: 'Work that runs.', labelNames: ['class', 'endpoint'], registers }),
    configurationVersion: new Gauge({ name: 'anvilarch_configuration_version', help: 'Version of the configuration in force here.', registers }),
    invariantViolations: new Counter({ name: 'anvilarch_invariant_violations_total', help: 'Invariants found not to hold; anything above 0 is a fault of the program.', labelNames: ['name'], registers }),
    itemsFinished: new Counter({ name: 'anvilarch_items_finished_total', help: 'Batch items that were finished here, by outcome.', labelNames: ['outcome'], registers }),
    partsInProgress: new Gauge({ name: 'anvilarch_parts_in_progress', help: 'Job parts leased by this gateway.', registers }),
    platformCalls: new Counter({ name: 'anvilarch_platform_calls_total', help: 'Calls to the platform, by service, operation and outcome.', labelNames: ['service', 'operation', 'outcome'], registers })
  }
}
