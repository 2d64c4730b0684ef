/**
 * Completes a response that has no length and cannot be resumed, once its connection has ended in order. The connections of a process
 * that is killed may end in order too, and its port is closed then. So is that of an endpoint that leaves after its last response.
 */
import { sleep } from 'anvilarch-utils'
import { type ConnectResult, PROBE_DELAY_MS } from '../crashes/lossProber'
import type { ForwardParts, RequestState } from './forwardTypes'
import type { EndpointResponse } from './runAttempt'
import type { RunningAttempt, RunningAttempts } from './runningAttempts'

/** Ends in the metrics, by the result of the probe. */
const END_BY_RESULT: Record<ConnectResult, string> = { connected: 'confirmed', unknown: 'unconfirmed', refused: 'gone' }

/** End of the response of one request. */
export interface ProbedEnd {
  /**
   * Probes the endpoint of an attempt, which stays in progress until then.
   *
   * @param response - undefined if it is a stream, whose events the client has
   */
  probe: (entry: RunningAttempt, response: EndpointResponse | undefined) => Promise<void>
  /** Completes a response whose endpoint is being probed. @returns false if there is none */
  completeUnconfirmed: () => boolean
}

/** Options of `createProbedEnd`. */
export interface ProbedEndOptions {
  parts: Pick<ForwardParts, 'clock' | 'metrics' | 'probeConnection'>
  state: Pick<RequestState, 'isEndUnconfirmed'>
  running: Pick<RunningAttempts, 'all' | 'release'>
  complete: (entry: RunningAttempt, response: EndpointResponse | undefined) => void
  /** @returns whether an endpoint is leaving */
  isLeaving: (startId: string) => boolean
  /** Called if no process listens at the endpoint any more although it is not leaving; the attempt is no longer in progress. */
  onGone: (entry: RunningAttempt) => void
}

/**
 * @param options - the request and how its response is completed
 * @returns the end of its response, which has not come
 */
export function createProbedEnd ({ parts: { clock, metrics, probeConnection }, state, running, complete, isLeaving, onGone }: ProbedEndOptions): ProbedEnd {
  /** Completions of the responses whose endpoints are being probed. */
  const completions = new Map<RunningAttempt, () => void>()

  return {
    probe: async (entry, response) => {
      const completeThis = (): void => {
        completions.clear()
        complete(entry, response)
      }
      completions.set(entry, completeThis)
      // A process that ends closes its connections and its port within this time. The client has all events, but waits for any other response.
      if (response === undefined) await sleep(clock, PROBE_DELAY_MS)
      const result = await probeConnection(entry.endpoint.address)
      if (!running.all().includes(entry)) return
      // Unlike a stream that has begun, any other response can still be replaced.
      const isGone = result === 'refused' && (response !== undefined || !isLeaving(entry.endpoint.startId))
      metrics.endsByClose.inc({ end: result === 'refused' && !isGone ? 'unconfirmed' : END_BY_RESULT[result] })
      if (!isGone) {
        state.isEndUnconfirmed = result !== 'connected'
        completeThis()
        return
      }
      completions.delete(entry)
      running.release(entry)
      onGone(entry)
    },
    completeUnconfirmed: () => {
      const [completeFirst] = completions.values()
      if (completeFirst === undefined) return false
      metrics.endsByClose.inc({ end: 'unconfirmed' })
      state.isEndUnconfirmed = true
      completeFirst()
      return true
    }
  }
}
