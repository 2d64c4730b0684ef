/** What the requests of a gateway tell of crashes, and which of them may still be sent. */
import type { RequestIdentity } from './fingerprint'
import { fingerprintOf } from './fingerprint'
import type { SuspectRecord, SuspectTable } from './suspectTable'

/** Watches requests and endpoints for crashes. */
export interface CrashMonitor {
  /** @returns whether the request may be sent to an endpoint; false once it has been in the crashes of three */
  mayRun: (request: RequestIdentity) => boolean
  /** The connection broke while the request was in progress. */
  onConnectionLost: (request: RequestIdentity, startId: string) => void
  /** The endpoint has crashed, as far as can be told. */
  onEndpointLost: (startId: string) => void
}

/**
 * @param suspects - requests that were in progress at crashes
 * @param publish - tells other gateways
 * @returns the watch
 */
export function createCrashMonitor (suspects: SuspectTable, publish: (records: readonly SuspectRecord[]) => void): CrashMonitor {
  const tell = (records: readonly SuspectRecord[]): void => {
    if (records.length > 0) publish(records)
  }
  return {
    // Nearly always there is no suspect, and no request needs to be hashed.
    mayRun: request => suspects.isEmpty() || !suspects.isQuarantined(fingerprintOf(request)),
    onConnectionLost: (request, startId) => tell(suspects.onConnectionLost(fingerprintOf(request), startId)),
    onEndpointLost: startId => tell(suspects.onEndpointLost(startId))
  }
}
