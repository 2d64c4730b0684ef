/** Quarantine of requests that crash endpoints. */

/** Fingerprints of requests that no endpoint may run again. */
export interface Quarantine {
  has: (fingerprint: string) => boolean
  /** Quarantines a fingerprint: on this gateway at once, on all others once its row is committed to the table. */
  add: (fingerprint: string, reason: string) => void
  list: () => string[]
}

/** Quarantine with a sequence of its additions, so that each peer is sent each fingerprint once. */
export interface QuarantineLog extends Quarantine {
  /**
   * @param sequence - as returned by the previous call for the same peer; 0 for the first call
   * @returns fingerprints added since that call, and the sequence for the next one
   */
  addedSince: (sequence: number) => { fingerprints: string[], sequence: number }
}

/** Value of a row `suspect/<fingerprint>`. */
export interface QuarantineRow {
  reason: string
  /** Name of the gateway that quarantined it. */
  addedBy: string
  /** Wall-clock time, since the row outlives every process. */
  addedAtMs: number
}
