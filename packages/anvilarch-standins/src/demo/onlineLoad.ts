/** Generates a constant load of online requests, in parallel to other steps. */
import { streamCompletion, type StreamResult } from './callers'

/** A running load. */
export interface OnlineLoad {
  /** Stops sending; resolves with the results of all requests once those in progress have ended, and rejects if one failed. */
  finish: () => Promise<StreamResult[]>
}

/** Options of `startOnlineLoad`. */
export interface OnlineLoadOptions {
  gatewayUrls: string[]
  /** Number of concurrent requests. */
  concurrency: number
  maxTokens: number
  label: string
}

/**
 * @param options - gateways, concurrency and length of the responses
 * @returns the running load
 */
export function startOnlineLoad (options: OnlineLoadOptions): OnlineLoad {
  const results: StreamResult[] = []
  const stopping = new AbortController()
  let sent = 0
  const runWorker = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const index = sent++
      const gatewayUrl = options.gatewayUrls[index % options.gatewayUrls.length]
      results.push(await streamCompletion(gatewayUrl, { prompt: `${options.label} ${index}`, maxTokens: options.maxTokens }))
    }
  }
  const workers = Promise.allSettled(Array.from({ length: options.concurrency }, runWorker))
  return {
    finish: async () => {
      stopping.abort()
      const failed = (await workers).find(worker => worker.status === 'rejected')
      if (failed !== undefined) throw failed.reason
      return results
    }
  }
}

/**
 * @param values - measured values
 * @param percent - percentage of values that may be lower
 * @returns the value at that rank, 0 for an empty list
 */
export function percentile (values: number[], percent: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / 100))] ?? 0
}
