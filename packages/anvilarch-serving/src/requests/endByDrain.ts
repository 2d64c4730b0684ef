/** Ends a request that is still in progress when the drain of its gateway ends. */
import type { ClientRequest, ForwardParts, RequestState } from './forwardTypes'
import type { RequestCompletion } from './requestCompletion'
import type { Attempts } from './sendAttempts'

/** Reason in the log and in responses. */
export const DRAIN_REASON = 'gateway_stopping'

/** Parts of the request that are needed to end it. */
export interface EndByDrainParts {
  parts: Pick<ForwardParts, 'drainState' | 'log'>
  client: ClientRequest
  state: RequestState
  attempts: Pick<Attempts, 'stop'>
  end: RequestCompletion
}

/**
 * Registers the request with the drain of this process.
 *
 * @param request - request in progress
 * @returns removes the registration, once the request has ended
 */
export function endByDrain ({ parts: { drainState, log }, client, state, attempts, end }: EndByDrainParts): () => void {
  return drainState.onEnd(() => {
    if (end.hasEnded()) return
    const signalAtMs = drainState.schedule()?.signalAtMs ?? client.arrivedAtMs
    const sinceSignalMs = (timeMs: number): number => Math.round(timeMs - signalAtMs)
    log.warn('request ended by the drain', {
      requestId: client.metadata.requestId,
      headAfterSignalMs: sinceSignalMs(client.arrivedAtMs),
      readAfterSignalMs: sinceSignalMs(client.readAtMs),
      sentAfterSignalMs: state.firstSentAtMs === undefined ? undefined : sinceSignalMs(state.firstSentAtMs),
      offers: state.sendCount,
      answerBegun: state.responseStarted
    })
    attempts.stop()
    end.abortConnection(DRAIN_REASON)
  })
}
