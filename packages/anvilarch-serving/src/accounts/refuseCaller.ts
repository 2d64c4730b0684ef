/** Answers callers that are not let in. */
import type { GatewayResponse } from '../requests/clientResponse'
import { unauthorizedResponse } from '../requests/clientResponse'
import type { AuthenticationResult } from './callerAuthenticator'
import type { Caller } from './types'

/** Why a caller is not let in. `stale`: this process may not know that its key was taken away. */
export type CallerRefusal = Exclude<AuthenticationResult, Caller>['caller'] | 'stale'

/** A gateway that cannot reach the store may reach it again soon, and another one may reach it now. */
const UNCONFIRMED_RETRY_AFTER_MS = 300

const NOT_RUN_STATUS = 503

/**
 * @param refusal - why the caller is not let in
 * @param credentialScheme - by which keys are shown
 * @returns the answer. Only a key that no version knows is refused for good: a caller does not come back after that.
 */
export function refusalResponse (refusal: CallerRefusal, credentialScheme: string): GatewayResponse {
  return REFUSALS[refusal](credentialScheme)
}

const REFUSALS: Record<CallerRefusal, (credentialScheme: string) => GatewayResponse> = {
  unknown: unauthorizedResponse,
  unconfirmed: () => ({
    status: NOT_RUN_STATUS,
    code: 'key_not_confirmed',
    message: 'the key is not known here, and the store does not say whether it is new',
    retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS
  }),
  stale: () => ({
    status: NOT_RUN_STATUS,
    code: 'configuration_stale',
    message: 'this gateway has not heard of the store for too long to know which keys are good',
    retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS
  })
}
