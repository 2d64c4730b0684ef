/**
 * Records requests that were in progress at an endpoint when it crashed. Callers send them again, and the gateway itself never
 * retries a non-idempotent call: without this record each resend would run beside others and could crash one endpoint after
 * another without ever being identified by running alone.
 */
import { LRUCache } from 'lru-cache'

/** Fingerprints of requests that run without other prompts computed beside them, until they have proved harmless. */
export interface Suspects {
  has: (fingerprint: string) => boolean
  add: (fingerprint: string) => void
  clear: (fingerprint: string) => void
}

/** Maximum number of suspects; the oldest are evicted. */
const MAX_SUSPECTS = 4_096

/** @returns an empty set of suspects */
export function createSuspects (): Suspects {
  const fingerprints = new LRUCache<string, true>({ max: MAX_SUSPECTS })
  return {
    has: fingerprint => fingerprints.has(fingerprint),
    add: fingerprint => { fingerprints.set(fingerprint, true) },
    clear: fingerprint => { fingerprints.delete(fingerprint) }
  }
}
