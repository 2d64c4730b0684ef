/** Bounds and periods of an agent that no deployment has needed to set yet. */

/** Tunables beside those of the settings file. */
export interface AgentOptions {
  /** Period of the one tick that serves deadlines, heartbeats, silence and admission while work is in progress. */
  tickMs: number
  /** Period of the one tick that asks endpoints for their state. */
  probeIntervalMs: number
  /** The period while an endpoint is about to come up or to have its model. */
  changingProbeIntervalMs: number
  /** An endpoint that goes on changing is asked no longer than this at the shorter period. */
  changingMs: number
  /** An attempt that nobody reads is stopped after this long. A dropped connection alone stops nothing. */
  readerGraceMs: number
  /** Largest output frame. */
  maxFrameBytes: number
  /** Output of ended attempts kept over all; the oldest goes first. */
  maxRetainedBytes: number
  /** Attempt ids kept without their output. */
  maxTombstones: number
  /** Quarantined fingerprints kept; the oldest goes first. */
  maxQuarantined: number
  /** How long a drain keeps serving after the last attempt ended, for readers whose connection went silent. */
  drainLingerMs: number
  /** How long running batch work may go on in a drain before it is handed back. */
  batchDrainGraceMs: number
  /** An order that takes longer goes on after it was answered as started. */
  orderResponseTimeoutMs: number
  /** A gateway's connection is asked for a sign of life this often while it gives none by itself. */
  pingIntervalMs: number
  /** A connection without one for this long is closed. */
  connectionTimeoutMs: number
  /** Where the operations server listens, when the settings leave its port open. */
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
