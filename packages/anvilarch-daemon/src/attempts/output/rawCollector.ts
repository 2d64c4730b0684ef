/** Forwards a response unchanged. A short response is buffered until complete, so that another endpoint may start over. */
import type { Headers, WorkSink } from '../types'
import type { OutputCollector } from './types'

/** Responses up to this size are buffered until complete. */
export const MAX_BUFFERED_BYTES = 64 * 1024

/**
 * @param sink - receives the response
 * @returns an empty collector
 */
export function createRawCollector (sink: WorkSink): OutputCollector {
  let status = 0
  let headers: Headers = {}
  let buffered: Uint8Array[] = []
  let bufferedBytes = 0
  let forwarding = false

  const flush = async (): Promise<void> => {
    if (!forwarding) sink.onHead(status, headers)
    forwarding = true
    const data = Buffer.concat(buffered)
    buffered = []
    bufferedBytes = 0
    if (data.length > 0) await sink.onOutput(data)
  }

  return {
    head: (newStatus, newHeaders) => {
      status = newStatus
      headers = newHeaders
      return undefined
    },
    output: data => {
      buffered.push(data)
      bufferedBytes += data.length
      return forwarding || bufferedBytes > MAX_BUFFERED_BYTES ? flush() : undefined
    },
    continuable: () => !forwarding,
    missing: () => undefined,
    restart: () => {
      buffered = []
      bufferedBytes = 0
      return undefined
    },
    finish: async () => {
      await flush()
      return { status, headers, body: new Uint8Array(0) }
    }
  }
}
