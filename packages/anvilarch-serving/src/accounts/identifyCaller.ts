/** Decides whose a request is. */
import type { Configuration, Route } from '../model/types'
import { digestKey } from './accountDirectory'
import type { Caller, Credential } from './types'

/** `unknown`: the route needs a key, and this version of the configuration knows none such. */
export type Identification = Caller | { caller: 'unknown' }

/** Longer ones are nobody's, and are not worth a digest. */
const MAX_KEY_LENGTH = 1024

/**
 * @param configuration - the version in force
 * @param credential - what the caller shows
 * @param route - gives the route of the request, if there is one
 * @returns whose the request is
 */
export function identifyCaller (configuration: Configuration, credential: Credential, route: () => Pick<Route, 'isPublic'> | undefined): Identification {
  const { accounts } = configuration
  if (accounts === undefined) return { caller: 'unchecked' }
  if (credential.credential === 'key' && credential.key.length <= MAX_KEY_LENGTH) {
    const keyDigest = digestKey(credential.key)
    const account = accounts.byDigest(keyDigest)
    if (account !== undefined) return { caller: 'account', account, keyDigest }
  }
  return route()?.isPublic === true ? { caller: 'anonymous' } : { caller: 'unknown' }
}

/**
 * Whether something new may still be started for a caller: a request that waits, is to be sent once more or is to be gone on
 * with elsewhere may outlive its caller's key.
 *
 * @param configuration - the version in force
 * @param caller - as it was identified
 * @returns whether its key is still the account's
 */
export function isStillAuthorized (configuration: Configuration | undefined, caller: Caller): boolean {
  if (caller.caller !== 'account' || configuration === undefined) return true
  return configuration.accounts?.byDigest(caller.keyDigest)?.name === caller.account.name
}
