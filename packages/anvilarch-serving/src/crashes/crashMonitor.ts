/** Detects requests and prompt parts that crash endpoints and decides which requests may still be sent. */
import { type Clock, runInBackground } from 'anvilarch-utils'
import type { EventLog } from '../telemetry/events'
import type { ServingMetrics } from '../telemetry/metrics'
import type { RequestIdentity } from './fingerprint'
import { fingerprintOf } from './fingerprint'
import { type ConnectResult, createLossProber, type LostEndpoint } from './lossProber'
import type { SharedSuspects } from './shareSuspects'
import type { LostRequest, SuspectRecord, SuspectTable } from './suspectTable'

/**
 * Whether a request may be sent to an endpoint. `trial_due`: one of its prompt parts is quarantined, but one request is to show
 * whether it still crashes endpoints.
 */
export type Admission = 'admitted' | 'quarantined' | 'trial_due'

/** Monitors requests and endpoints for crashes. */
export interface CrashMonitor {
  admit: (request: RequestIdentity) => Admission
  /** Claims the trial of a request. @returns whether this gateway may send it; no other gateway may then */
  claimTrial: (request: RequestIdentity) => Promise<boolean>
  /** @returns whether a request may be sent to another endpoint; `mayHaveRun`: whether one of those before may have run it */
  mayRunAgain: (request: RequestIdentity, mayHaveRun: boolean) => boolean
  /** Records that the connection was lost while the request was in progress, and finds out whether the endpoint has crashed. */
  onConnectionLost: (request: RequestIdentity, endpoint: LostEndpoint) => void
  /** Records that the endpoint has presumably crashed. */
  onEndpointLost: (startId: string) => void
  /** Records that a single endpoint has run the request from its start to its end, so that the request and its parts are sound. */
  onCompleted: (request: RequestIdentity) => void
}

/** Time from the last crash to the first trial of a quarantined part. */
const FIRST_TRIAL_AFTER_MS = 5000

/** Each trial is this many times later than the one before, since a crash costs all requests at an endpoint. */
const TRIAL_DELAY_FACTOR = 4

/**
 * @param record - record of a quarantined part
 * @returns store time of its next trial, in milliseconds
 */
export function nextTrialAtMs ({ lastCrashAtMs, trials = 0 }: SuspectRecord): number {
  return lastCrashAtMs + FIRST_TRIAL_AFTER_MS * TRIAL_DELAY_FACTOR ** trials
}

/** Options of `createCrashMonitor`. */
export interface CrashMonitorOptions {
  clock: Clock
  metrics: Pick<ServingMetrics, 'lossProbes'>
  log: EventLog
  suspects: SuspectTable
  /** Exchange with other gateways. */
  shared: Pick<SharedSuspects, 'publish' | 'claimTrial' | 'clear'>
  storeNowMs: () => number | undefined
  /** Attempts to connect to an endpoint. */
  connect: (address: string) => Promise<ConnectResult>
}

/**
 * @param options - suspects and their exchange
 * @returns the monitor
 */
export function createCrashMonitor ({ clock, metrics, log, suspects, shared, storeNowMs, connect }: CrashMonitorOptions): CrashMonitor {
  const publishNew = (records: readonly SuspectRecord[]): void => {
    if (records.length > 0) shared.publish(records)
  }
  const lostRequestOf = (request: RequestIdentity): LostRequest => ({ fingerprint: fingerprintOf(request), sharedParts: request.sharedParts })
  // Usually there is no suspect, so requests need not be hashed.
  const isQuarantined = (request: RequestIdentity): boolean => !suspects.isEmpty() && suspects.isQuarantined(fingerprintOf(request))

  const actions: Record<ConnectResult, (startId: string) => void> = {
    refused: startId => publishNew(suspects.onEndpointLost(startId)),
    connected: suspects.onEndpointAlive,
    // The end of its entry shows later whether the endpoint has crashed.
    unknown: () => {}
  }
  const prober = createLossProber({
    clock,
    log,
    connect,
    onResult: ({ startId }, result) => {
      metrics.lossProbes.inc({ result })
      log.info('endpoint probed after a lost connection', { endpoint: startId, result })
      actions[result](startId)
    }
  })

  return {
    admit: request => {
      if (suspects.isEmpty()) return 'admitted'
      if (isQuarantined(request)) return 'quarantined'
      const parts = suspects.quarantinedParts(request.sharedParts)
      if (parts.length === 0) return 'admitted'
      // With several quarantined parts, a crash would not show which of them is the cause.
      const [part] = parts
      return parts.length === 1 && (storeNowMs() ?? -Infinity) >= nextTrialAtMs(part) ? 'trial_due' : 'quarantined'
    },
    claimTrial: async request => {
      const [part] = suspects.quarantinedParts(request.sharedParts)
      return part === undefined || await shared.claimTrial(part)
    },
    mayRunAgain: (request, mayHaveRun) => {
      if (suspects.isEmpty()) return true
      if (isQuarantined(request) || suspects.quarantinedParts(request.sharedParts).length > 0) return false
      return !mayHaveRun || !suspects.hasSuspectPart(request.sharedParts)
    },
    onConnectionLost: (request, endpoint) => {
      publishNew(suspects.onConnectionLost(lostRequestOf(request), endpoint.startId))
      prober.onConnectionLost(endpoint)
    },
    onEndpointLost: startId => publishNew(suspects.onEndpointLost(startId)),
    onCompleted: request => {
      const fingerprint = suspects.isEmpty() ? undefined : fingerprintOf(request)
      for (const record of suspects.onCompleted(request.sharedParts, fingerprint)) runInBackground(log, 'clear a suspect', () => shared.clear(record))
    }
  }
}
