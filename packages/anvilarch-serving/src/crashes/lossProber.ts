/**
 * Finds out whether an endpoint has crashed after the connection to it was lost, by one new connection.
 *
 * Load: a quiet hour, in which no other request of this gateway would find out before the endpoint is back.
 */
import { type Clock, runInBackground, sleep } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { EventLog } from '../telemetry/events'

/** Result of an attempt to connect. `unknown`: no response in time, or any other failure. */
export type ConnectResult = 'connected' | 'refused' | 'unknown'

/** An endpoint whose connection was lost. */
export type LostEndpoint = Pick<Endpoint, 'startId' | 'address'>

/** Probes endpoints after losses of connections. */
export interface LossProber {
  /** Records that a connection to the endpoint was lost. At most one probe of an endpoint is in progress. */
  onConnectionLost: (endpoint: LostEndpoint) => void
}

/** Options of `createLossProber`. */
export interface LossProberOptions {
  clock: Clock
  log: EventLog
  /** Attempts to connect. */
  connect: (address: string) => Promise<ConnectResult>
  /** Called with each result that holds for all losses reported so far. */
  onResult: (endpoint: LostEndpoint, result: ConnectResult) => void
}

/** A process that ends closes its connections and its port within this time. */
export const PROBE_DELAY_MS = 50

/**
 * @param options - clock and connections
 * @returns a prober without probes in progress
 */
export function createLossProber ({ clock, log, connect, onResult }: LossProberOptions): LossProber {
  /** Number of losses so far of the endpoints that are being probed. */
  const lossCounts = new Map<string, number>()

  const probe = async (endpoint: LostEndpoint): Promise<void> => {
    let lossCount: number | undefined
    let result: ConnectResult = 'unknown'
    try {
      do {
        await sleep(clock, PROBE_DELAY_MS)
        lossCount = lossCounts.get(endpoint.startId)
        result = await connect(endpoint.address)
        // A connection that was lost meanwhile may have been lost after this one was made.
      } while (result === 'connected' && lossCounts.get(endpoint.startId) !== lossCount)
    } finally {
      lossCounts.delete(endpoint.startId)
    }
    onResult(endpoint, result)
  }

  return {
    onConnectionLost: endpoint => {
      const lossCount = lossCounts.get(endpoint.startId)
      lossCounts.set(endpoint.startId, (lossCount ?? 0) + 1)
      if (lossCount === undefined) runInBackground(log, 'probe an endpoint', () => probe(endpoint))
    }
  }
}
