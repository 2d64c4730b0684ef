/** Responses to refused callers. */
import type { GatewayResponse } from '../requests/clientResponse'
import { unauthorizedResponse } from '../requests/clientResponse'
import type { AuthenticationResult } from './callerAuthenticator'
import type { Caller } from './types'

/** Why a caller is refused. `stale`: this process may have missed that its key was revoked. */
export type CallerRefusal = Exclude<AuthenticationResult, Caller>['caller'] | 'stale'

/** This gateway may reach the store again soon, and another gateway may reach it now. */
const UNCONFIRMED_RETRY_AFTER_MS = 300

const NOT_RUN_STATUS = 503

/**
 * @param refusal - why the caller is refused
 * @param credentialScheme - authentication scheme of the keys
 * @returns the response. Only a key that no version contains is refused permanently, since callers do not retry after that.
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
