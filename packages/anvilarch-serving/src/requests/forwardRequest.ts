/** Runs the attempts of one client request until it has a response, its deadline passes or its client disconnects. */
import type { Permit } from '../accounts/limits/rateLimiter'
import { shareOfUse } from '../accounts/share'
import { accountNameOf } from '../accounts/types'
import type { Route } from '../model/types'
import { chooseService } from '../routing/matchRoute'
import { bindStream, resumesStream, streamIdOf } from './bindStream'
import { returnAtTurnMs } from './callerReturn'
import { cutReasonOf, type GatewayResponse, STOPPING_RESPONSE } from './clientResponse'
import { type ClientRequest, firstEventRemainingMs, type ForwardParts, outputTokensLeft, placementCriteria, requestIdentityOf, type RequestState } from './forwardTypes'
import { endByDrain } from './endByDrain'
import { checkOverload, type Overload, type Refusal } from './overload'
import { retryAfterMs } from './refusedReturn'
import { createRequestCompletion, type RequestCompletion } from './requestCompletion'
import { createRequestLog } from './requestLog'
import { createAttempts } from './sendAttempts'

/** Retry-After for quarantined requests. It is long since the cause of the crashes needs a manual fix. */
const QUARANTINED_RETRY_AFTER_MS = 60_000

const QUARANTINED_RESPONSE: GatewayResponse = {
  status: 503,
  code: 'quarantined',
  message: 'endpoints crash when they run this request; it is not run again',
  retryAfterMs: QUARANTINED_RETRY_AFTER_MS
}

/**
 * Forwards a client request to an endpoint and sends the response to the client.
 *
 * @param parts - endpoints, connections and wire
 * @param client - the request
 */
export function forwardRequest (parts: ForwardParts, client: ClientRequest): void {
  const { clock } = parts
  parts.traffic.onArrival()
  const state = createRequestState(parts, client)
  let permit: Permit | undefined
  const end = createRequestCompletion(parts, client, state, () => {
    expiry.cancel()
    attempts.stop()
    unregister()
    parts.streamOrigins.onEnded(streamIdOf(client))
    if (permit?.granted === true && !mayHaveRun(state)) permit.refund()
  })
  const attempts = createAttempts(parts, client, state, end)
  const unregister = endByDrain({ parts, client, state, attempts, end })

  const expiry = clock.after(state.deadlineAtMs - clock.nowMs(), () => {
    attempts.stop()
    attempts.timeOut()
  })
  client.response.on('close', () => {
    if (end.hasEnded()) return
    attempts.stop()
    const cutReason = cutReasonOf(client.response)
    if (cutReason === undefined) end.clientDisconnected()
    else end.abortConnection(cutReason)
  })

  const admission = parts.crashes.admit(requestIdentityOf(client))
  if (admission === 'quarantined') {
    end.respond(QUARANTINED_RESPONSE)
    return
  }
  if (!attempts.mayBeginSend()) {
    end.respond(STOPPING_RESPONSE)
    return
  }
  const prepare = async (): Promise<GatewayResponse | undefined> => {
    if (admission === 'trial_due' && !await parts.crashes.claimTrial(requestIdentityOf(client))) return QUARANTINED_RESPONSE
    const refusal = resumesStream(client) ? await bindStream(parts, client, state) : undefined
    if (refusal === undefined) await attempts.prepare()
    return refusal
  }

  Promise.all([parts.limits.acquire(client.caller), prepare()])
    .then(([received, refusal]) => {
      if (end.hasEnded()) {
        if (received.granted) received.refund()
        return
      }
      permit = received
      if (!received.granted) {
        refuseOverRate(parts, client, state, end, received)
        return
      }
      if (refusal !== undefined) {
        end.respond(refusal)
        return
      }
      const { service } = state
      if (service !== undefined) {
        const overload = checkRequestOverload(parts, client, state, service, received.usedPerSecond)
        if (overload.refused) {
          refuseOverloaded(parts, client, state, service, end, overload)
          return
        }
        parts.serviceTurns.onAccepted(service)
      }
      attempts.sendPrepared()
    })
    .catch(attempts.onError)
}

function mayHaveRun (state: RequestState): boolean {
  return state.sendCount > state.refusedSendCount
}

function refuseOverRate (parts: ForwardParts, client: ClientRequest, state: RequestState, end: RequestCompletion, denial: Exclude<Permit, { granted: true }>): void {
  const retryAfterMs = returnAtTurnMs(state.deadlineAtMs - parts.clock.nowMs(), denial.retryAfterMs, parts.random)
  parts.log.info('request over the limit of its account', {
    requestId: client.metadata.requestId,
    account: accountNameOf(client.caller),
    granter: denial.granter,
    turnMs: denial.retryAfterMs,
    retryAfterMs
  })
  end.respond({ status: 429, code: 'over_rate', message: 'the account sends more requests than its limit allows', retryAfterMs })
}

function refuseOverloaded (parts: ForwardParts, client: ClientRequest, state: RequestState, service: string, end: RequestCompletion, overload: Refusal): void {
  const criteria = placementCriteria(client, state, service)
  const known = parts.placement.candidates(criteria)
  const loads = known.map(parts.placement.loadOf)
  const remainingMs = state.deadlineAtMs - parts.clock.nowMs()
  const refusedMs = retryAfterMs(parts, { criteria, remainingMs, roomInMs: overload.waitMs - overload.allowedMs })
  parts.log.info('request refused', {
    requestId: client.metadata.requestId,
    reason: overload.reason,
    account: accountNameOf(client.caller),
    shareOfUse: Number(overload.shareOfUse.toFixed(2)),
    waitMs: Math.round(overload.waitMs),
    allowedMs: Math.round(overload.allowedMs),
    remainingMs: Math.round(remainingMs),
    retryAfterMs: refusedMs,
    candidateCount: parts.placement.count(criteria),
    knownCount: known.length,
    suspectedCount: loads.filter(load => load.suspected).length,
    leastOnline: Math.min(...loads.map(load => load.online)),
    slots: known[0]?.slots ?? 0
  })
  end.respond({ status: 503, code: 'overloaded', message: 'all endpoints are full', retryAfterMs: refusedMs })
}

function createRequestState (parts: ForwardParts, { route, metadata, arrivedAtMs }: ClientRequest): RequestState {
  const timeoutMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs)
  return {
    service: chooseService(route.targets, parts.random()),
    timeoutMs,
    deadlineAtMs: arrivedAtMs + timeoutMs,
    requestLog: createRequestLog(parts.log),
    tried: new Set(),
    ranAt: new Set(),
    sendCount: 0,
    firstSentAtMs: undefined,
    refusedSendCount: 0,
    lastEventId: metadata.lastEventId,
    responseStarted: false,
    origin: undefined,
    firstEventAtMs: undefined,
    eventCount: 0,
    firstEventId: undefined,
    longestGapMs: 0,
    isEndUnconfirmed: false,
    failedResponse: undefined
  }
}

function checkRequestOverload (parts: ForwardParts, client: ClientRequest, state: RequestState, service: string, usedPerSecond: number): Overload {
  const { route, caller } = client
  const criteria = placementCriteria(client, state, service)
  const nowMs = parts.clock.nowMs()
  const plainWorkMs = (kind: Route['kind']): number => parts.holdTimes.runMs(service, kind) ?? 0
  return checkOverload({
    candidates: parts.placement.candidates(criteria),
    loadOf: parts.placement.loadOf,
    holdMs: parts.holdTimes.holdMs(service),
    workMs: route.kind === 'stream' ? parts.holdTimes.workMs(service, outputTokensLeft(client.metadata)) ?? 0 : plainWorkMs(route.kind),
    remainingMs: state.deadlineAtMs - nowMs,
    firstEventRemainingMs: firstEventRemainingMs(client, nowMs),
    routes: parts.routesTo(service),
    plainWorkMs,
    priorityRank: caller.caller === 'account' ? caller.account.priorityRank : 0,
    shareOfUse: capacityPerSecond => caller.caller !== 'account'
      ? 1
      : shareOfUse({ usedPerSecond, limitPerSecond: caller.account.requestsPerSecond, allLimitsPerSecond: parts.allLimitsPerSecond(), capacityPerSecond }),
    slotCount: () => parts.placement.slotCount(criteria)
  })
}
