/** Ends a request that is still in progress when the drain of its gateway ends. */
import { type GatewayResponse, STOPPING_RESPONSE } from './clientResponse'
import type { ClientRequest, ForwardParts, RequestState } from './forwardTypes'
import type { RequestCompletion } from './requestCompletion'
import type { Attempts } from './sendAttempts'

/** Response to a request that an endpoint may have run when the drain ended. */
const INTERRUPTED_RESPONSE: GatewayResponse = {
  status: 502,
  code: 'interrupted',
  message: 'this gateway stopped before an endpoint had answered; the request may have run'
}

/** Parts of the request that are needed to end it. */
export interface EndByDrainParts {
  parts: Pick<ForwardParts, 'drainState' | 'log'>
  client: ClientRequest
  state: RequestState
  attempts: Pick<Attempts, 'stop' | 'mayHaveRun' | 'completeUnconfirmed'>
  end: RequestCompletion
}

/**
 * Registers the request with the drain of this process. When the drain ends, the client gets a complete response that says whether
 * the request may have run, or a cut one if its response has begun.
 *
 * @param request - request in progress
 * @returns removes the registration, once the request has ended
 */
export function endByDrain ({ parts: { drainState, log }, client, state, attempts, end }: EndByDrainParts): () => void {
  return drainState.onEnd(() => {
    if (end.hasEnded() || attempts.completeUnconfirmed()) return
    const signalAtMs = drainState.schedule()?.signalAtMs ?? client.arrivedAtMs
    const sinceSignalMs = (timeMs: number): number => Math.round(timeMs - signalAtMs)
    log.warn('request ended by the drain', {
      requestId: client.metadata.requestId,
      headMs: sinceSignalMs(client.arrivedAtMs),
      readMs: sinceSignalMs(client.readAtMs),
      sentMs: state.firstSentAtMs === undefined ? undefined : sinceSignalMs(state.firstSentAtMs),
      offers: state.sendCount,
      answerBegun: state.responseStarted
    })
    const mayHaveRun = attempts.mayHaveRun()
    attempts.stop()
    end.respond(mayHaveRun ? INTERRUPTED_RESPONSE : STOPPING_RESPONSE)
  })
}
