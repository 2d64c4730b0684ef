/** Limits and periods of an agent that are not part of its settings. */

/** Options in addition to those of the settings file. */
export interface AgentOptions {
  /** Period of the tick for deadlines, heartbeats, timeouts and admission while work is in progress. */
  tickMs: number
  /** Period at which endpoints are probed. */
  probeIntervalMs: number
  /** Probe period while an endpoint starts or loads a model. */
  changingProbeIntervalMs: number
  /** Maximum time for which a changing endpoint is probed at the shorter period. */
  changingMs: number
  /** An attempt without a reader is stopped after this time. A dropped connection alone does not stop it. */
  readerGraceMs: number
  /** Maximum output bytes in a frame. */
  maxFrameBytes: number
  /** Maximum total output of ended attempts that is retained; the oldest is discarded first. */
  maxRetainedBytes: number
  /** Maximum number of attempt ids kept without output. */
  maxTombstones: number
  /** Maximum number of quarantined fingerprints; the least recently reported is evicted first. */
  maxQuarantined: number
  /** Time for which a drain continues after the end of the last attempt, so that readers can reconnect. */
  drainLingerMs: number
  /** Time for which running batch attempts may continue in a drain before they are ended as preempted. */
  batchDrainGraceMs: number
  /** An order that takes longer is responded to as started and continues in the background. */
  orderResponseTimeoutMs: number
  /** Time since the last ping response after which a gateway's connection is pinged again. */
  pingIntervalMs: number
  /** A connection is closed if a ping has not been acknowledged within this time since the last ping response. */
  connectionTimeoutMs: number
  /** Actual address of the operations server, if the settings specify port 0. */
  operationsAddress: string | undefined
}

/** Defaults of `AgentOptions`. */
export const DEFAULT_AGENT_OPTIONS: AgentOptions = {
  tickMs: 100,
  probeIntervalMs: 1000,
  changingProbeIntervalMs: 200,
  changingMs: 10_000,
  readerGraceMs: 10_000,
  maxFrameBytes: 64 * 1024,
  maxRetainedBytes: 64 * 1024 * 1024,
  maxTombstones: 200_000,
  maxQuarantined: 10_000,
  drainLingerMs: 3000,
  batchDrainGraceMs: 3000,
  orderResponseTimeoutMs: 1000,
  pingIntervalMs: 5000,
  connectionTimeoutMs: 10_000,
  operationsAddress: undefined
}
