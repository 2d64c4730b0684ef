/**
 * Limits retries to a share of requests. Otherwise retries overload a fleet at its limit: each refused request returns as
 * several.
 */

/** Token bucket filled by requests and emptied by retries. */
export interface RetryBudget {
  noteRequest: (nowMs: number) => void
  allows: (nowMs: number) => boolean
  /** Takes one retry; a retry that is not subject to the budget may take it from an empty one. */
  take: (nowMs: number) => void
}

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries added by each request, in percent. */
  percent: number
  /** Retries added per second, so that a gateway with little traffic can retry at all. */
  floorPerSecond: number
  /** Maximum number of accumulated retries, enough for the requests in progress at one lost host. */
  capacity: number
}

/** Values for options that gateway settings do not include. */
export const DEFAULT_OPTIONS = { floorPerSecond: 5, capacity: 200 } as const

/**
 * @param options - share, floor and capacity
 * @returns a full budget
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  let tokens = options.capacity
  let updatedMs: number | undefined

  const add = (count: number): void => { tokens = Math.min(options.capacity, tokens + count) }

  const refill = (nowMs: number): void => {
    if (updatedMs !== undefined) add((nowMs - updatedMs) / 1000 * options.floorPerSecond)
    updatedMs = nowMs
  }

  return {
    noteRequest: nowMs => {
      refill(nowMs)
      add(options.percent / 100)
    },
    allows: nowMs => {
      refill(nowMs)
      return tokens >= 1
    },
    take: nowMs => {
      refill(nowMs)
      tokens = Math.max(0, tokens - 1)
    }
  }
}
