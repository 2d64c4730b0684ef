/** Types of leases. The heartbeat row of a gateway is the lease on everything it holds; other gateways observe that row. */

/** Description of a gateway in its heartbeat row, besides its identity. */
export interface GatewayDescription {
  /** IP address and port of the HTTP server for callers. */
  address: string
  operationsAddress: string
  configurationVersion: number
  state: 'serving' | 'draining'
  /** Number of job parts that this gateway holds. */
  heldParts: number
}

/** Value of a heartbeat row. */
export interface GatewayRow extends GatewayDescription {
  name: string
  incarnation: string
  /** Incremented with each renewal of one incarnation. */
  sequence: number
}

/** The lease of this gateway on everything that it holds. */
export interface Heartbeat {
  /** Name and incarnation of this gateway; the holder value in lease rows and part rows. */
  instance: string
  /** Whether the lease is valid according to this gateway's own monotonic clock. */
  holdsLease: () => boolean
  /**
   * Number of renewals before which the lease had lapsed. When this number changes, code that relies on held rows must read
   * them again before it continues, since another gateway may have taken them over.
   */
  lapses: () => number
}

/** Observed state of a holder. `unknown` until a scan after the query has found its row or confirmed that there is none. */
export type HolderState = 'alive' | 'dead' | 'unknown'

/** A gateway as observed by another one. */
export interface ObservedGateway {
  instance: string
  row: GatewayRow
  state: HolderState
}

/** Observes the other gateways through their heartbeat rows. */
export interface LeaseObserver {
  /**
   * @param instance - holder named by a row that was read before this call
   * @returns its state; if `unknown`, the next scan resolves it
   */
  stateOf: (instance: string) => HolderState
  /** @returns gateways whose rows were found by the last scan */
  list: () => ObservedGateway[]
  /** Scans immediately; resolves to false if the table could not be read. */
  scan: () => Promise<boolean>
}

/** Value of a lease row with one holder. */
export interface SingleLeaseRow {
  /** Instance of the holder; empty after a release. */
  holder: string
  /** Never decreases; the fencing token of all actions under the lease. */
  epoch: number
}

/** A lease that at most one gateway of the fleet holds. */
export interface SingleLease {
  /** @returns the epoch while this gateway holds the lease, otherwise undefined */
  epoch: () => number | undefined
}
