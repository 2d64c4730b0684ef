/** Completes a stream whose response has no length and ended with its connection, once that is confirmed or the wait for it is over. */
import { createInactivityTimeout, type InactivityTimeout, sleep } from 'anvilarch-utils'
import { PROBE_DELAY_MS } from '../crashes/lossProber'
import type { ClientRequest, ForwardParts, RequestState } from './forwardTypes'
import { createEndConfirmation, type EndConfirmation, type UnconfirmedEnd } from './endConfirmation'
import { isBrokenConnection, isEndpointGone } from './runAttempt'
import type { RunningAttempt, RunningAttempts } from './runningAttempts'

/** End of the stream of one request. */
export interface StreamEnd {
  /**
   * Records that the connection of an attempt, which is no longer in progress, has ended in order.
   *
   * @returns whether that has completed the stream
   */
  onEnd: (entry: RunningAttempt) => boolean
  /** Records that an attempt has failed. */
  onFailure: (startId: string, reason: string) => void
  onSent: (startId: string) => void
  /** Stops waiting for a confirmation. */
  cancelTimeout: () => void
  /** @returns whether the stream has ended in order, and its endpoint is not known to be gone */
  isPending: () => boolean
  /** @returns whether this endpoint has given the stream its pending end */
  isEndedBy: (startId: string) => boolean
  /** @returns start id of the endpoint to ask for a confirmation */
  toBeAsked: () => string | undefined
  /** Completes a pending stream that is resumed no more. Its endpoint is probed first, unless it has been asked. */
  completeAfterProbe: () => void
  /** Completes a pending stream, although no endpoint has confirmed its end. @returns false if it is not pending */
  completeUnconfirmed: () => boolean
}

/** Options of `createStreamEnd`. */
export interface StreamEndOptions {
  parts: Pick<ForwardParts, 'clock' | 'metrics' | 'probeConnection'>
  route: ClientRequest['route']
  /** @returns how long an endpoint may send no further event */
  eventTimeoutMs: () => number
  state: Pick<RequestState, 'lastEventId' | 'isEndUnconfirmed'>
  running: Pick<RunningAttempts, 'all' | 'abort'>
  /** Completes the response with the events that the client has. */
  complete: (entry: RunningAttempt) => void
  /** @returns whether the request has ended */
  hasEnded: () => boolean
  /** @returns whether an endpoint is leaving */
  isLeaving: (startId: string) => boolean
  /** Called if a probe shows that no process listens at the endpoint of the attempt any more. */
  onGone: (entry: RunningAttempt) => void
  onError: (error: Error) => void
  onProcessPause: (lateMs: number) => void
}

/**
 * @param options - the request and how its response is completed
 * @returns the end of its stream, which has not come
 */
export function createStreamEnd ({ parts: { clock, metrics, probeConnection }, route, eventTimeoutMs, state, running, complete, hasEnded, isLeaving, onGone, onError, onProcessPause }: StreamEndOptions): StreamEnd {
  const confirmation: EndConfirmation<RunningAttempt> = createEndConfirmation()
  let timeout: InactivityTimeout | undefined
  let probed: UnconfirmedEnd<RunningAttempt> | undefined

  const isPending = (): boolean => confirmation.pending(state.lastEventId) !== undefined

  const isEndedBy = (startId: string): boolean => confirmation.pending(state.lastEventId)?.startId === startId

  const cancelTimeout = (): void => {
    timeout?.cancel()
    timeout = undefined
  }

  const completeWith = (source: RunningAttempt, end: 'confirmed' | 'unconfirmed'): void => {
    metrics.endsByClose.inc({ end })
    state.isEndUnconfirmed = end === 'unconfirmed'
    running.abort(running.all())
    complete(source)
  }

  const completeUnconfirmed = (): boolean => {
    const end = confirmation.pending(state.lastEventId)
    if (end === undefined) return false
    completeWith(end.source, 'unconfirmed')
    return true
  }

  const probe = async (end: UnconfirmedEnd<RunningAttempt>): Promise<void> => {
    probed = end
    await sleep(clock, PROBE_DELAY_MS)
    const result = await probeConnection(end.source.endpoint.address)
    if (hasEnded() || confirmation.pending(state.lastEventId) !== end) return
    if (result === 'refused' && !isLeaving(end.startId)) onGone(end.source)
    else completeWith(end.source, result === 'connected' ? 'confirmed' : 'unconfirmed')
  }

  const completeAfterProbe = (): void => {
    const end = confirmation.pending(state.lastEventId)
    if (end === undefined || end === probed) return
    if (confirmation.toBeAsked(state.lastEventId) === undefined) completeUnconfirmed()
    else probe(end).catch(onError)
  }

  const onTimeout = (): void => {
    if (probed !== undefined && confirmation.pending(state.lastEventId) === probed) completeUnconfirmed()
    else completeAfterProbe()
  }

  /** The client has all events, so that it is not kept waiting for longer than for an event. */
  const updateTimeout = (): void => {
    if (!isPending()) cancelTimeout()
    else timeout ??= createInactivityTimeout({ clock, timeoutMs: eventTimeoutMs(), onTimeout, onProcessPause })
  }

  return {
    onEnd: entry => {
      const isConfirmed = confirmation.onEnd({ source: entry, startId: entry.endpoint.startId, lastEventId: state.lastEventId, beside: running.all() })
      if (isConfirmed) {
        completeWith(entry, 'confirmed')
        return true
      }
      metrics.endsByClose.inc({ end: 'to_be_confirmed' })
      updateTimeout()
      return false
    },
    onFailure: (startId, reason) => {
      if (isEndpointGone(reason)) {
        if (isEndedBy(startId)) metrics.endsByClose.inc({ end: 'gone' })
        confirmation.onEndpointGone(startId)
      }
      if (isBrokenConnection(reason)) confirmation.onConnectionLost(startId)
      updateTimeout()
    },
    onSent: confirmation.onSent,
    cancelTimeout,
    isPending,
    isEndedBy,
    toBeAsked: () => confirmation.toBeAsked(state.lastEventId),
    completeAfterProbe,
    completeUnconfirmed
  }
}
