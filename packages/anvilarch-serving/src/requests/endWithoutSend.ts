/** Ends requests that may not be sent to a further endpoint. */
import { noEndpointResponse } from './attemptEnd'
import { STOPPING_RESPONSE, unauthorizedResponse } from './clientResponse'
import type { ForwardParts, RequestState } from './forwardTypes'
import type { NextEndpoint } from './nextEndpoint'
import type { RequestCompletion } from './requestCompletion'
import type { AttemptFailure, NextStep } from './retryDecision'
import type { RunningAttempts } from './runningAttempts'
import type { StreamEnd } from './streamEnd'

/** Ends of one request. */
export interface EndsWithoutSend {
  /** Ends a request whose time is over. */
  timeOut: () => void
  /** Ends a request whose key was revoked while it waited. Attempts in progress are not aborted, but nothing new is sent. */
  forRevokedKey: () => void
  /** Ends a request without an untried endpoint: endpoints may be removed while the request waits for their loads. */
  withoutEndpoint: () => void
  /** Ends a request that a draining gateway may not send any more, unless an attempt is in progress. */
  forDrain: () => void
}

/** Options of `createEndsWithoutSend`. */
export interface EndsWithoutSendOptions {
  parts: Pick<ForwardParts, 'wire' | 'clock' | 'random'>
  end: RequestCompletion
  state: Pick<RequestState, 'responseStarted' | 'ranAt' | 'deadlineAtMs'>
  running: Pick<RunningAttempts, 'count'>
  nextEndpoint: Pick<NextEndpoint, 'startedCount'>
  streamEnd: Pick<StreamEnd, 'isPending'>
  steps: Record<NextStep, (reason: string) => void>
  stepAfter: (failure: AttemptFailure) => NextStep
  /** Completes a response that has ended in order. @returns whether it has */
  completeUnconfirmed: () => boolean
}

/**
 * @param options - progress of the request and its next steps
 * @returns its ends
 */
export function createEndsWithoutSend ({ parts, end, state, running, nextEndpoint, streamEnd, steps, stepAfter, completeUnconfirmed }: EndsWithoutSendOptions): EndsWithoutSend {
  return {
    timeOut: () => {
      if (completeUnconfirmed()) return
      if (state.responseStarted) end.abortConnection('timeout')
      else steps.time_out('timeout')
    },
    forRevokedKey: () => {
      if (running.count() > 0) {
        steps.wait('key_taken_away')
        return
      }
      if (streamEnd.isPending()) steps.complete('key_taken_away')
      else if (state.responseStarted) end.abortConnection('key_taken_away')
      else if (state.ranAt.size > 0) steps.fail('key_taken_away')
      else end.respond(unauthorizedResponse(parts.wire.credentialScheme))
    },
    withoutEndpoint: () => {
      if (nextEndpoint.startedCount() > 0) steps[stepAfter('may_have_run')]('no_endpoint')
      else end.respond(noEndpointResponse(parts, state))
    },
    forDrain: () => {
      if (nextEndpoint.startedCount() > 0) steps[stepAfter('may_have_run')](STOPPING_RESPONSE.code)
      else end.respond(STOPPING_RESPONSE)
    }
  }
}
