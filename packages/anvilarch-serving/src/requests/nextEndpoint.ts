/** Chooses the endpoint of the next send of a request: one that has not been tried, or one that it may go back to, as to confirm the end of a stream. */
import type { Endpoint } from '../model/types'
import { type ClientRequest, type ForwardParts, placementCriteria, type RequestState } from './forwardTypes'
import type { AbortedAttempt, RunningAttempts } from './runningAttempts'
import type { StreamEnd } from './streamEnd'

/** Choice of endpoints for one request. */
export interface NextEndpoint {
  /** @returns the endpoint that ended the stream in order and has not been asked to confirm it; undefined if it accepts no requests any more */
  confirming: () => Endpoint | undefined
  /** @returns whether the endpoint is leaving, so that its process may end after it has completed its requests */
  isLeaving: (startId: string) => boolean
  /** @returns the best endpoint that has not been tried; undefined if there is none or the request has been sent too often */
  untried: () => Endpoint | undefined
  /** @returns the best endpoint that the request may go back to */
  aborted: () => Endpoint | undefined
  /** @returns the endpoint of the next send */
  choose: () => Endpoint | undefined
  /**
   * Registers an attempt that was aborted because another endpoint continued the response. Its endpoint may be sound, and only slow. One
   * that has not been reached counts as untried again.
   */
  onAborted: (attempt: AbortedAttempt) => void
  /** Registers a send. */
  onSent: (endpoint: Endpoint) => void
  /** @returns number of endpoints that run the request or may have run it. The route limits it, so that going back to one of them is no further attempt. */
  startedCount: () => number
}

/** Limit on the sends of one request, including those that endpoints refuse because they are full. A request may still go back after that. */
const MAX_SENDS = 6

const NO_ENDPOINTS: ReadonlySet<string> = new Set()

/**
 * @param parts - placement
 * @param client - the request
 * @param state - progress of the request; its tried endpoints are updated
 * @param running - attempts in progress
 * @param streamEnd - end of the stream
 * @returns the choice
 */
export function createNextEndpoint ({ placement }: Pick<ForwardParts, 'placement'>, client: ClientRequest, state: RequestState, running: Pick<RunningAttempts, 'all' | 'count'>, streamEnd: Pick<StreamEnd, 'toBeAsked' | 'onSent'>): NextEndpoint {
  /** Start ids of endpoints whose attempts were aborted. */
  const abortedAt = new Set<string>()

  const untried = (): Endpoint | undefined =>
    state.service === undefined || state.sendCount >= MAX_SENDS ? undefined : placement.choose(placementCriteria(client, state, state.service))

  const oneOf = (allowed: ReadonlySet<string>): Endpoint | undefined =>
    state.service === undefined || allowed.size === 0
      ? undefined
      : placement.choose({ ...placementCriteria(client, state, state.service), excluded: NO_ENDPOINTS, allowed })

  const aborted = (): Endpoint | undefined => oneOf(abortedAt)

  const confirming = (): Endpoint | undefined => {
    const startId = streamEnd.toBeAsked()
    return startId === undefined ? undefined : oneOf(new Set([startId]))
  }

  const startedCount = (): number =>
    state.ranAt.size + running.all().filter(({ endpoint }) => !state.ranAt.has(endpoint.startId)).length

  return {
    confirming,
    isLeaving: startId => oneOf(new Set([startId])) === undefined,
    untried,
    aborted,
    choose: () => {
      const isIdle = running.count() === 0
      const next = (isIdle ? confirming() : undefined) ?? (startedCount() < client.route.maxAttempts ? untried() : undefined)
      return next ?? (isIdle ? aborted() : undefined)
    },
    onAborted: ({ endpoint, mayHaveRun }) => {
      if (mayHaveRun) abortedAt.add(endpoint.startId)
      else state.tried.delete(endpoint.startId)
    },
    onSent: ({ startId }) => {
      state.tried.add(startId)
      abortedAt.delete(startId)
      streamEnd.onSent(startId)
    },
    startedCount
  }
}
