/** Identifies the caller of a request. */
import type { Configuration, Route } from '../model/types'
import { digestKey } from './accountDirectory'
import type { Caller, Credential } from './types'

/** `unknown`: the route needs a key, and this version of the configuration has no account for the key of the request. */
export type Identification = Caller | { caller: 'unknown' }

/** Longer keys belong to no account and are not hashed. */
const MAX_KEY_LENGTH = 1024

/**
 * @param configuration - the version in force
 * @param credential - credential of the request
 * @param route - returns the route of the request, if there is one
 * @returns the caller
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
 * Returns whether a new attempt may still be started for a caller. A request that waits, is retried or is resumed at another
 * endpoint may outlive its caller's key.
 *
 * @param configuration - the version in force
 * @param caller - the caller as identified earlier
 * @returns whether its key still belongs to its account
 */
export function isStillAuthorized (configuration: Configuration | undefined, caller: Caller): boolean {
  if (caller.caller !== 'account' || configuration === undefined) return true
  return configuration.accounts?.byDigest(caller.keyDigest)?.name === caller.account.name
}
