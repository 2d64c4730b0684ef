/** Takes one client request through its attempts until it is answered, its time is over or its client has left. */
import type { Endpoint } from '../model/types'
import { chooseService } from '../routing/matchRoute'
import type { OwnAnswer } from './clientAnswer'
import { type ClientRequest, type ForwardParts, repeatedRequestOf, type RequestState } from './forwardTypes'
import { checkOverload, type Overload } from './overload'
import { createRequestEnd } from './requestEnd'
import { createRequestTrail } from './requestTrail'
import { createAttempts } from './sendAttempts'

/** When a caller whose request has crashed endpoints may ask again; what crashes them is mended by hand, if at all. */
const QUARANTINED_RETRY_AFTER_MS = 60_000

const QUARANTINED_ANSWER: OwnAnswer = {
  status: 503,
  code: 'quarantined',
  message: 'endpoints crash when they run this request; it is not run again',
  retryAfterMs: QUARANTINED_RETRY_AFTER_MS
}

/**
 * Answers a client request from an endpoint.
 *
 * @param parts - endpoints, connections and wire
 * @param client - the request
 */
export function forwardRequest (parts: ForwardParts, client: ClientRequest): void {
  const { clock } = parts
  const state = createRequestState(parts, client)
  const end = createRequestEnd(parts, client, state, () => expiry.cancel())
  const attempts = createAttempts(parts, client, state, end)

  const expiry = clock.after(state.deadlineAtMs - clock.nowMs(), () => {
    attempts.stop()
    attempts.timeOut()
  })
  client.response.on('close', () => {
    if (end.hasEnded()) return
    attempts.stop()
    end.clientLeft()
  })

  if (!parts.crashes.mayRun(repeatedRequestOf(client))) {
    end.answer(QUARANTINED_ANSWER)
    return
  }
  const candidates = state.service === undefined ? [] : parts.endpoints.usable(state.service)
  const overload = overloadOf(parts, client, state, candidates)
  if (!overload.refused) {
    attempts.send()
    return
  }
  const loads = candidates.map(candidate => parts.loads.loadOf(candidate.startId))
  parts.log.info('request refused', {
    requestId: client.metadata.requestId,
    reason: overload.reason,
    waitMs: Math.round(overload.waitMs),
    objectiveMs: client.route.latencyObjectiveMs,
    remainingMs: Math.round(state.deadlineAtMs - clock.nowMs()),
    candidateCount: candidates.length,
    suspectedCount: loads.filter(load => load.suspected).length,
    leastOnline: Math.min(...loads.map(load => load.online)),
    slots: candidates[0]?.slots ?? 0
  })
  end.answer({ status: 503, code: 'overloaded', message: 'all endpoints are full', retryAfterMs: overload.retryAfterMs })
}

function createRequestState (parts: ForwardParts, { route, metadata, arrivedAtMs }: ClientRequest): RequestState {
  const limitMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
  return {
    service: chooseService(route.targets, parts.draw()),
    limitMs,
    deadlineAtMs: arrivedAtMs + limitMs,
    trail: createRequestTrail(parts.log),
    tried: new Set(),
    attemptsThatMayHaveRun: 0,
    offers: 0,
    lastEventId: metadata.lastEventId,
    answerBegun: false,
    firstEventAtMs: undefined,
    failedAnswer: undefined
  }
}

function overloadOf (parts: ForwardParts, { route }: ClientRequest, state: RequestState, candidates: readonly Endpoint[]): Overload {
  if (state.service === undefined) return { refused: false }
  return checkOverload({
    candidates,
    loadOf: parts.loads.loadOf,
    holdMs: parts.holdTimes.holdMs(state.service),
    latencyObjectiveMs: route.latencyObjectiveMs,
    remainingMs: state.deadlineAtMs - parts.clock.nowMs(),
    fullTimeMs: route.timeoutMs,
    draw: parts.draw
  })
}
