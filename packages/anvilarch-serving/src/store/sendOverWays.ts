/**
 * Sends a call that may be executed twice over several ways to the store, the next one whenever the ones before are silent.
 *
 * Guards the time of a call against a host whose packets to the store are dropped: there is no error, only a timeout
 * that is longer than the caller has.
 */
import type { Clock, Timer } from 'anvilarch-utils'
import type { StoreResponse } from './storeCall'

/** A call through a peer gets no response in less time than this. */
export const MIN_TRY_MS = 50

/** Sends the call one way, directly or through a peer. */
export type StoreWay = (timeoutMs: number) => Promise<StoreResponse>

/** Options of `sendOverWays`. */
export interface SendOverWaysOptions {
  clock: Clock
  /** Ways in order of preference, at least one. */
  ways: readonly StoreWay[]
  /** The next way is used after this long without a conclusive response. */
  repeatAfterMs: number
  /** Local time by which every way ends. */
  deadlineMs: number
  /** @returns whether the response ends the call */
  isConclusive: (response: StoreResponse) => boolean
}

/** Response to the call, and the number of ways over which it was sent. */
export interface WaysResponse {
  response: StoreResponse
  usedWays: number
}

/**
 * @param options - ways and times
 * @returns the first conclusive response. Without one, `no_answer` if the call may have been executed over any way, else the
 *   last response
 */
export async function sendOverWays (options: SendOverWaysOptions): Promise<WaysResponse> {
  const { clock, ways, deadlineMs } = options
  return await new Promise((resolve, reject) => {
    const responses: StoreResponse[] = []
    let usedWays = 0
    let settled = false
    let timer: Timer | undefined

    const settle = (response: StoreResponse): void => {
      settled = true
      timer?.cancel()
      resolve({ response, usedWays })
    }

    const mayUseNext = (): boolean => usedWays < ways.length && (usedWays === 0 || deadlineMs - clock.nowMs() >= MIN_TRY_MS)

    const onResponse = (response: StoreResponse): void => {
      if (settled) return
      responses.push(response)
      if (options.isConclusive(response)) settle(response)
      else if (mayUseNext()) useNext()
      else if (responses.length === usedWays) settle(responses.find(({ outcome }) => outcome === 'no_answer') ?? response)
    }

    const useNext = (): void => {
      timer?.cancel()
      const way = ways[usedWays]
      usedWays++
      timer = clock.after(options.repeatAfterMs, () => { if (mayUseNext()) useNext() })
      way(deadlineMs - clock.nowMs()).then(onResponse, reject)
    }

    useNext()
  })
}
