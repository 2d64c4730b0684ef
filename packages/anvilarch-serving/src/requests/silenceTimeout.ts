/** Limits how long the endpoints of one request may be silent before it is also sent to another one. */
import type { Endpoint } from '../model/types'
import { type ClientRequest, firstEventRemainingMs, type ForwardParts, type RequestState } from './forwardTypes'
import { expectedWaitMs } from './overload'
import { eventTimeoutMs, firstResponseTimeoutMs } from './retryDecision'

/** Timeout of one request. */
export interface SilenceTimeout {
  /** Registers the endpoint of the next send. @returns how long the request is expected to wait there */
  onSend: (endpoint: Endpoint) => number
  /** @returns how long the endpoints may be silent from now on. @param startedCount - number of endpoints that run the request or may have run it */
  timeoutMs: (startedCount: number) => number
  /** @returns how long an endpoint may send no further event */
  eventTimeoutMs: () => number
}

/**
 * @param parts - loads, hold times and clock
 * @param client - the request
 * @param state - progress of the request
 * @returns its timeout
 */
export function createSilenceTimeout ({ placement, holdTimes, clock }: Pick<ForwardParts, 'placement' | 'holdTimes' | 'clock'>, client: ClientRequest, state: RequestState): SilenceTimeout {
  const { route } = client
  const ofService = (measure: (service: string) => number | undefined): number | undefined => state.service === undefined ? undefined : measure(state.service)
  const ownEventTimeoutMs = (): number => eventTimeoutMs(route, { resumptionMs: ofService(holdTimes.answerMs) ?? 0, longestGapMs: ofService(holdTimes.longestEventGapMs) })
  let waitMs = 0

  return {
    onSend: endpoint => {
      waitMs = expectedWaitMs(placement.loadOf(endpoint), endpoint.slots, holdTimes.holdMs(endpoint.service) ?? 0)
      return waitMs
    },
    timeoutMs: startedCount => {
      if (state.responseStarted) return ownEventTimeoutMs()
      const nowMs = clock.nowMs()
      return firstResponseTimeoutMs({
        waitMs,
        availableMs: Math.min(state.deadlineAtMs - nowMs, firstEventRemainingMs(client, nowMs)),
        triesLeft: route.maxAttempts - startedCount + 1,
        usualRunMs: ofService(service => holdTimes.runMs(service, route.kind)),
        longestRunMs: ofService(service => holdTimes.longestRunMs(service, route.kind))
      })
    },
    eventTimeoutMs: ownEventTimeoutMs
  }
}
