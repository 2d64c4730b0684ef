/** Counters and histograms of a process. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Histogram buckets for latencies, in seconds, from the response of an idle endpoint to the timeout of most routes. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 10]

/** All metrics of the serving core. */
export interface ServingMetrics {
  registry: Registry
  requests: Counter<'kind' | 'service' | 'outcome'>
  requestSeconds: Histogram<'kind'>
  begunAnswers: Counter<'end' | 'outcome'>
  firstEventSeconds: Histogram
  longestGapSeconds: Histogram
  endpointWaitSeconds: Histogram<'kind'>
  sends: Counter<'kind' | 'send'>
  streamResumptions: Counter<'by' | 'version'>
  refusals: Counter<'kind' | 'reason'>
  callerRefusals: Counter<'reason'>
  connectionsClosedUnread: Counter
  connectionsClosedByDrain: Counter
  connectionsClosedAtLimit: Counter<'reason'>
  bodiesRefused: Counter
  pipelinesEnded: Counter
  bodyBytes: Gauge
  endsByClose: Counter<'end'>
  attemptFailures: Counter<'kind' | 'reason'>
  lossProbes: Counter<'result'>
  processPauses: Counter
  storeCalls: Counter<'call' | 'result'>
  jobCalls: Counter<'call' | 'outcome'>
  itemRuns: Counter<'outcome'>
  itemsInHand: Gauge
  orphanedClaims: Gauge
  configurationVersion: Gauge
  eventIntervalSeconds: Gauge
  unusableRows: Counter<'table'>
  logLinesDropped: Counter
  logLinesLeftOut: Counter
}

/** @returns metrics in a new registry */
export function createServingMetrics (): ServingMetrics {
  const registry = new Registry()
  const registers = [registry]
  return {
    registry,
    requests: new Counter({ name: 'anvilarch_requests_total', help: 'Client requests by kind, service and outcome', labelNames: ['kind', 'service', 'outcome'], registers }),
    requestSeconds: new Histogram({ name: 'anvilarch_request_seconds', help: 'From the head of a request to its last byte', labelNames: ['kind'], buckets: LATENCY_BUCKETS_SECONDS, registers }),
    begunAnswers: new Counter({ name: 'anvilarch_begun_answers_total', help: 'Streamed answers whose head has gone to the client, by how the client sees the end and by the outcome', labelNames: ['end', 'outcome'], registers }),
    firstEventSeconds: new Histogram({ name: 'anvilarch_first_event_seconds', help: 'From the head of a stream request to its first event', buckets: LATENCY_BUCKETS_SECONDS, registers }),
    longestGapSeconds: new Histogram({ name: 'anvilarch_longest_gap_seconds', help: 'Longest time between two events of a stream as they are handed on, one value a stream', buckets: LATENCY_BUCKETS_SECONDS, registers }),
    endpointWaitSeconds: new Histogram({ name: 'anvilarch_endpoint_wait_seconds', help: 'From a send to the first event or the whole answer: queue and work', labelNames: ['kind'], buckets: LATENCY_BUCKETS_SECONDS, registers }),
    sends: new Counter({ name: 'anvilarch_sends_total', help: 'Sends to endpoints: first, again, or resumed after an event', labelNames: ['kind', 'send'], registers }),
    streamResumptions: new Counter({ name: 'anvilarch_stream_resumptions_total', help: 'Sends that continue a stream, by who resumes it, and whether the software version is the one that began it', labelNames: ['by', 'version'], registers }),
    refusals: new Counter({ name: 'anvilarch_refusals_total', help: 'Requests refused by this process by reason', labelNames: ['kind', 'reason'], registers }),
    callerRefusals: new Counter({ name: 'anvilarch_caller_refusals_total', help: 'Calls whose key is not known, or not known for certain, by reason', labelNames: ['reason'], registers }),
    connectionsClosedUnread: new Counter({ name: 'anvilarch_connections_closed_unread_total', help: 'New connections of clients that were closed before their request was read, because far more than usual came to this process', registers }),
    connectionsClosedByDrain: new Counter({ name: 'anvilarch_connections_closed_by_drain_total', help: 'Connections of clients that were closed because this process stops, after their last response', registers }),
    connectionsClosedAtLimit: new Counter({ name: 'anvilarch_connections_closed_at_limit_total', help: 'Connections of clients that were closed because this process has no room for more, or because no request came on them, by reason', labelNames: ['reason'], registers }),
    bodiesRefused: new Counter({ name: 'anvilarch_bodies_refused_total', help: 'Requests refused because the bodies of all requests take all the memory that there is for them', registers }),
    pipelinesEnded: new Counter({ name: 'anvilarch_pipelines_ended_total', help: 'Connections of clients that were closed after the requests before, because too many more had come on them', registers }),
    bodyBytes: new Gauge({ name: 'anvilarch_body_bytes', help: 'Bytes of the bodies of all requests that this process keeps', registers }),
    endsByClose: new Counter({ name: 'anvilarch_ends_by_close_total', help: 'Answers without a length whose connection an endpoint closed in order: streams to be resumed for a confirmation, and what came of it', labelNames: ['end'], registers }),
    attemptFailures: new Counter({ name: 'anvilarch_attempt_failures_total', help: 'Attempts without a whole answer by reason', labelNames: ['kind', 'reason'], registers }),
    lossProbes: new Counter({ name: 'anvilarch_loss_probes_total', help: 'Connections made to find out whether an endpoint has crashed, by result', labelNames: ['result'], registers }),
    processPauses: new Counter({ name: 'anvilarch_own_pauses_total', help: 'Times that this process stood still when it should have listened to an endpoint, and so did not judge it', registers }),
    storeCalls: new Counter({ name: 'anvilarch_store_calls_total', help: 'Calls to the metadata store by result', labelNames: ['call', 'result'], registers }),
    jobCalls: new Counter({ name: 'anvilarch_job_calls_total', help: 'Calls about jobs by outcome', labelNames: ['call', 'outcome'], registers }),
    itemRuns: new Counter({ name: 'anvilarch_item_runs_total', help: 'Runs of batch items by outcome', labelNames: ['outcome'], registers }),
    itemsInHand: new Gauge({ name: 'anvilarch_items_in_hand', help: 'Batch items that this process holds', registers }),
    orphanedClaims: new Gauge({ name: 'anvilarch_orphaned_claims', help: 'Claims of this process on batch items that it does not have in hand', registers }),
    configurationVersion: new Gauge({ name: 'anvilarch_configuration_version', help: 'Version of the configuration in force', registers }),
    eventIntervalSeconds: new Gauge({ name: 'anvilarch_event_interval_seconds', help: 'Time between two events of a run at the engine of this agent; 0 while it is not known', registers }),
    unusableRows: new Counter({ name: 'anvilarch_unusable_rows_total', help: 'Rows of shared tables that were read and cannot be used', labelNames: ['table'], registers }),
    logLinesDropped: new Counter({ name: 'anvilarch_log_lines_dropped_total', help: 'Log lines that a stalled reader has cost', registers }),
    logLinesLeftOut: new Counter({ name: 'anvilarch_log_lines_left_out_total', help: 'Lines of requests that went well, beyond the rate that is written', registers })
  }
}
