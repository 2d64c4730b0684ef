/** Durations that the holder and the observers of a lease must agree on. */

/** Renewals per lease duration; two may be lost. */
const RENEWALS_PER_LEASE = 3

/** Share of the lease duration by which a holder stops early and an observer waits longer, to tolerate clock drift. */
const MARGIN_SHARE = 0.1

/** Lease durations after which the row of a dead gateway is removed. */
const REMOVAL_LEASES = 20

/** Durations derived from the lease duration. */
export interface LeaseTimes {
  renewalMs: number
  /** Time for which a holder considers its lease valid after sending the last successful renewal. */
  holderValidMs: number
  /** Time without a new sequence after which an observer considers a holder dead. */
  observerTimeoutMs: number
  /** Time without a renewal after which an observer removes the row of a dead holder. */
  removalMs: number
}

/**
 * @param leaseMs - lease duration
 * @returns durations for holder and observers
 */
export function leaseTimes (leaseMs: number): LeaseTimes {
  const marginMs = leaseMs * MARGIN_SHARE
  return {
    renewalMs: leaseMs / RENEWALS_PER_LEASE,
    holderValidMs: leaseMs - marginMs,
    observerTimeoutMs: leaseMs + marginMs,
    removalMs: leaseMs * REMOVAL_LEASES
  }
}
