/**
 * Decides whether a stream is complete whose response has no length and ended with its connection. An endpoint ends a complete stream
 * in this way, but the connections of a process that is killed may end in order too. The stream is resumed after its last event: if
 * that brings no event, or the process that ended the response is not known to be gone, the stream is complete. Pure.
 */

/** An end in order that no other attempt has confirmed. */
export interface UnconfirmedEnd<Source> {
  /** Attempt whose connection ended. */
  source: Source
  /** Start id of its endpoint. */
  startId: string
  /** Last event of the stream at this time. */
  lastEventId: number | undefined
  /** Attempts that were in progress beside it. They may end for the same reason, so that they confirm nothing. */
  beside: readonly Source[]
}

/** The last end in order of one stream. */
export interface EndConfirmation<Source> {
  /**
   * Records that the connection of an attempt has ended in order.
   *
   * @returns whether the stream is complete, because the attempt resumed it after such an end and brought no event
   */
  onEnd: (end: UnconfirmedEnd<Source>) => boolean
  /** Records a send. */
  onSent: (startId: string) => void
  /** Records that the process at an endpoint is gone, so that the end may be that of the process. */
  onEndpointGone: (startId: string) => void
  /** Records that the connection to an endpoint was lost, so that its process may be ending. */
  onConnectionLost: (startId: string) => void
  /**
   * @param lastEventId - last event of the stream
   * @returns the end after this event; undefined if there is none, or its endpoint is gone
   */
  pending: (lastEventId: number | undefined) => UnconfirmedEnd<Source> | undefined
  /** @returns start id of the endpoint that ended the stream and is to be asked to resume it; undefined if it has been asked */
  toBeAsked: (lastEventId: number | undefined) => string | undefined
}

/** A second time shows whether a process that lost the first connection still listens. */
const MAX_ASKED = 2

/** @returns a stream without such an end */
export function createEndConfirmation<Source> (): EndConfirmation<Source> {
  let last: UnconfirmedEnd<Source> | undefined
  let askedCount = 0
  let isToBeAsked = false

  const pending = (lastEventId: number | undefined): UnconfirmedEnd<Source> | undefined =>
    last !== undefined && last.lastEventId === lastEventId ? last : undefined

  return {
    onEnd: end => {
      const earlier = pending(end.lastEventId)
      const isConfirmed = earlier !== undefined && !earlier.beside.includes(end.source)
      last = end
      askedCount = 0
      isToBeAsked = true
      return isConfirmed
    },
    onSent: startId => {
      if (last?.startId !== startId) return
      askedCount++
      isToBeAsked = false
    },
    onEndpointGone: startId => { if (last?.startId === startId) last = undefined },
    onConnectionLost: startId => { isToBeAsked ||= last?.startId === startId && askedCount < MAX_ASKED },
    pending,
    toBeAsked: lastEventId => isToBeAsked ? pending(lastEventId)?.startId : undefined
  }
}
