/**
 * Sends requests at intended times, whether or not earlier ones have ended. A closed loop would wait for a slow response and
 * so omit exactly the requests that would have been slow (coordinated omission).
 */
import { type Clock, sleep } from 'anvilarch-utils'

/** One scheduled request. */
export interface ScheduledRequest {
  index: number
  /** Intended send time on the clock's monotonic scale; latencies are measured from it. */
  intendedMs: number
  /** False during the warm-up. */
  measured: boolean
}

/** Options of `runOpenLoop`. */
export interface OpenLoopOptions {
  clock: Clock
  /** Intended send times relative to the start, ascending. */
  timesMs: number[]
  /** Requests before this time are sent, but not measured. */
  warmUpMs: number
  /** Sends one request, records its figures and resolves when the request has ended. */
  send: (request: ScheduledRequest) => Promise<void>
  /** How long to wait for requests in progress after the last one was sent. */
  drainMs: number
  signal?: AbortSignal
}

/** Counts of the loop. */
export interface OpenLoopResult {
  sent: number
  /** Requests that had not ended within `drainMs`. */
  unfinished: number
  /** Requests whose `send` rejected: errors of the bench, since clients return failures as results. */
  clientErrors: number
  /** Longest delay of a send after its intended time. Large values mean that the bench itself was too slow. */
  maxSendDelayMs: number
  sumSendDelayMs: number
}

/** Requests that are due within this time are sent at once, without a timer. */
const DUE_TOLERANCE_MS = 0.2

/**
 * @param options - clock, send times and what to send
 * @returns counts, after all requests have ended or the drain time has elapsed
 */
export async function runOpenLoop (options: OpenLoopOptions): Promise<OpenLoopResult> {
  const { clock, timesMs } = options
  const startMs = clock.nowMs()
  const result: OpenLoopResult = { sent: 0, unfinished: 0, clientErrors: 0, maxSendDelayMs: 0, sumSendDelayMs: 0 }
  const inProgress = new Set<Promise<void>>()

  const sendRequest = (index: number): void => {
    const intendedMs = startMs + timesMs[index]
    const delayMs = Math.max(0, clock.nowMs() - intendedMs)
    result.sent++
    result.sumSendDelayMs += delayMs
    result.maxSendDelayMs = Math.max(result.maxSendDelayMs, delayMs)
    const sending = options.send({ index, intendedMs, measured: timesMs[index] >= options.warmUpMs })
      .catch(() => { result.clientErrors++ })
      .finally(() => { inProgress.delete(sending) })
    inProgress.add(sending)
  }

  for (let index = 0; index < timesMs.length; index++) {
    const waitMs = startMs + timesMs[index] - clock.nowMs()
    if (waitMs > DUE_TOLERANCE_MS) await sleep(clock, waitMs, options.signal)
    if (options.signal?.aborted === true) break
    sendRequest(index)
  }
  await waitForAll(inProgress, options)
  result.unfinished = inProgress.size
  return result
}

async function waitForAll (inProgress: Set<Promise<void>>, options: OpenLoopOptions): Promise<void> {
  if (inProgress.size === 0) return
  const drainTimeout = new AbortController()
  await Promise.race([Promise.all(inProgress), sleep(options.clock, options.drainMs, drainTimeout.signal)])
  drainTimeout.abort()
}
