/** Detects requests and prompt parts that crash endpoints and decides which requests may still be sent. */
import { runInBackground } from 'anvilarch-utils'
import type { EventLog } from '../telemetry/events'
import type { RequestIdentity } from './fingerprint'
import { fingerprintOf } from './fingerprint'
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
  /** Records that the connection was lost while the request was in progress. */
  onConnectionLost: (request: RequestIdentity, startId: string) => void
  /** Records that the endpoint has presumably crashed. */
  onEndpointLost: (startId: string) => void
  /** Records that a single endpoint has run the request from its start to its end, so that its parts are sound. */
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
  log: EventLog
  suspects: SuspectTable
  /** Exchange with other gateways. */
  shared: Pick<SharedSuspects, 'publish' | 'claimTrial' | 'clear'>
  storeNowMs: () => number | undefined
}

/**
 * @param options - suspects and their exchange
 * @returns the monitor
 */
export function createCrashMonitor ({ log, suspects, shared, storeNowMs }: CrashMonitorOptions): CrashMonitor {
  const publishNew = (records: readonly SuspectRecord[]): void => {
    if (records.length > 0) shared.publish(records)
  }
  const lostRequestOf = (request: RequestIdentity): LostRequest => ({ fingerprint: fingerprintOf(request), sharedParts: request.sharedParts })
  // Usually there is no suspect, so requests need not be hashed.
  const isQuarantined = (request: RequestIdentity): boolean => !suspects.isEmpty() && suspects.isQuarantined(fingerprintOf(request))

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
    onConnectionLost: (request, startId) => publishNew(suspects.onConnectionLost(lostRequestOf(request), startId)),
    onEndpointLost: startId => publishNew(suspects.onEndpointLost(startId)),
    onCompleted: ({ sharedParts }) => {
      for (const record of suspects.onCompleted(sharedParts)) runInBackground(log, 'clear a suspect', () => shared.clear(record))
    }
  }
}
