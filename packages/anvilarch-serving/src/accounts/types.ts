/** Client accounts, the credentials of callers, and what endpoints receive about a caller. */

/** A client account of the configuration. */
export interface ClientAccount {
  name: string
  /** Rank of the account's priority among the distinct priorities of all accounts; 0 is the most urgent. */
  priorityRank: number
  /** Requests per second that may start over all gateways; 0 means no limit. */
  requestsPerSecond: number
  /** Requests beyond the rate that may start at once. */
  burstRequests: number
}

/** An account as the operator configures it. */
export interface ListedAccount extends Omit<ClientAccount, 'priorityRank'> {
  /** Keys in plain text. */
  keys: string[]
  /** Takes precedence over the priority of a route, where 0 is the most urgent; undefined leaves the route's. */
  priority: number | undefined
}

/** Credential of a request. `malformed`: a credential is present but cannot be read as a single key. */
export type Credential = { credential: 'none' } | { credential: 'malformed' } | { credential: 'key', key: string }

/**
 * Caller of a request.
 * `unchecked`: the configuration has no accounts. `anonymous`: the route is public, and the request has no known key.
 */
export type Caller =
  | { caller: 'unchecked' }
  | { caller: 'anonymous' }
  | { caller: 'account', account: ClientAccount, keyDigest: string }

/** What an endpoint receives about the caller. */
export interface ForwardedCaller {
  /** Undefined where the endpoint receives no account name. */
  accountName: string | undefined
  /** Whether a key that the client has sent is removed from the request. */
  stripsCredential: boolean
}

/**
 * @param caller - caller of a request
 * @returns what an endpoint receives about it
 */
export function forwardedCallerOf (caller: Caller): ForwardedCaller {
  return { accountName: accountNameOf(caller), stripsCredential: caller.caller !== 'unchecked' }
}

/**
 * @param caller - caller of a request
 * @returns the name of its account, if it has one
 */
export function accountNameOf (caller: Caller): string | undefined {
  return caller.caller === 'account' ? caller.account.name : undefined
}
