/** Configuration document of the soak's fleet. */
import { createHash } from 'node:crypto'
import { MODEL, PLAIN_SERVICE } from './types'

/** Options of `soakDocument`. */
export interface SoakDocumentOptions {
  /** Number of the variant. Variants differ in fields without effect on the load; consecutive ones have different adapters, which causes orders to the engines. */
  variant: number
}

/** API key of the flooding caller. */
export const FLOODER_KEY = 'soak-flooder'

const ADAPTERS = ['disputes', 'transfers', 'renewals', 'listings', 'audits', 'notes', 'holds']
const BASE_REQUESTS_PER_SECOND = 5000

/**
 * @param options - variant of the document
 * @returns the document, to be applied as JSON
 */
export function soakDocument ({ variant }: SoakDocumentOptions): object {
  return {
    formatVersion: 1,
    regions: { local: { failureDomains: ['domain-a', 'domain-b'] } },
    models: { [MODEL]: { versions: { '1.0': { sizeBytes: 1_000_000 } }, adapters: ADAPTERS } },
    services: {
      assistant: { kind: 'model', model: MODEL, version: '1.0', adapters: [ADAPTERS[variant % ADAPTERS.length]], replicas: 3, classes: ['online', 'batch'], timeoutMs: 20_000 },
      [PLAIN_SERVICE]: {
        kind: 'plain',
        replicas: 2,
        routes: [
          { method: 'GET', path: '/names/:name', idempotent: true, timeoutMs: 5000 },
          { method: 'POST', path: '/orders', idempotent: false, timeoutMs: 8000 }
        ]
      }
    },
    defaultCaller: { requestsPerSecond: BASE_REQUESTS_PER_SECOND + variant, burst: 10_000, maxConcurrent: 4000, maxActiveJobs: 500 },
    callers: {
      flooder: { keySha256: createHash('sha256').update(FLOODER_KEY).digest('hex'), requestsPerSecond: 10, burst: 20, maxConcurrent: 20, maxActiveJobs: 1 }
    }
  }
}
