/** Buffers the response until it is complete. Nothing reaches the caller before, so any attempt may start over. */
import type { Headers } from '../types'
import type { OutputCollector } from './types'

/** @returns an empty collector */
export function createWholeCollector (): OutputCollector {
  let status = 0
  let headers: Headers = {}
  let chunks: Uint8Array[] = []
  return {
    head: (newStatus, newHeaders) => {
      status = newStatus
      headers = newHeaders
      return undefined
    },
    output: data => {
      chunks.push(data)
      return undefined
    },
    continuable: () => true,
    missing: () => undefined,
    restart: () => {
      chunks = []
      return undefined
    },
    finish: async () => ({ status, headers, body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) })
  }
}
