/** Detects requests that crash endpoints and decides which requests may still be sent. */
import type { RequestIdentity } from './fingerprint'
import { fingerprintOf } from './fingerprint'
import type { SuspectRecord, SuspectTable } from './suspectTable'

/** Monitors requests and endpoints for crashes. */
export interface CrashMonitor {
  /** @returns whether the request may be sent to an endpoint; false after it has been in progress at three crashes */
  mayRun: (request: RequestIdentity) => boolean
  /** Records that the connection was lost while the request was in progress. */
  onConnectionLost: (request: RequestIdentity, startId: string) => void
  /** Records that the endpoint has presumably crashed. */
  onEndpointLost: (startId: string) => void
}

/**
 * @param suspects - requests that were in progress at crashes
 * @param publish - shares new records with other gateways
 * @returns the monitor
 */
export function createCrashMonitor (suspects: SuspectTable, publish: (records: readonly SuspectRecord[]) => void): CrashMonitor {
  const publishNew = (records: readonly SuspectRecord[]): void => {
    if (records.length > 0) publish(records)
  }
  return {
    // Usually there is no suspect, so requests need not be hashed.
    mayRun: request => suspects.isEmpty() || !suspects.isQuarantined(fingerprintOf(request)),
    onConnectionLost: (request, startId) => publishNew(suspects.onConnectionLost(fingerprintOf(request), startId)),
    onEndpointLost: startId => publishNew(suspects.onEndpointLost(startId))
  }
}
