/** Client accounts, the keys by which callers show whose they are, and what a request carries of that. */

/** A client account of the configuration. */
export interface ClientAccount {
  name: string
  /** How many steps of priority lie between this account and the most urgent ones. */
  priorityRank: number
  /** Requests that may start in a second over all gateways; 0 means no limit. */
  requestsPerSecond: number
  /** Requests beyond the rate that may start at once. */
  burstRequests: number
}

/** An account as the operator writes it. */
export interface ListedAccount extends Omit<ClientAccount, 'priorityRank'> {
  /** In clear. */
  keys: string[]
  /** Goes before the priority of a route, 0 being the most urgent; undefined leaves the route's. */
  priority: number | undefined
}

/** What a caller shows of itself. `malformed`: there is something, which cannot be read as one key. */
export type Credential = { credential: 'none' } | { credential: 'malformed' } | { credential: 'key', key: string }

/**
 * Who is calling.
 * `unchecked`: the configuration has no accounts. `anonymous`: a public route, and no key that is known.
 */
export type Caller =
  | { caller: 'unchecked' }
  | { caller: 'anonymous' }
  | { caller: 'account', account: ClientAccount, keyDigest: string }

/** What goes to an endpoint about the caller. */
export interface ForwardedCaller {
  /** Undefined where the endpoint is told of no account. */
  accountName: string | undefined
  /** Whether a key that the client has sent is left out. */
  stripsCredential: boolean
}

/**
 * @param caller - of a request
 * @returns what an endpoint is told
 */
export function forwardedCallerOf (caller: Caller): ForwardedCaller {
  return { accountName: accountNameOf(caller), stripsCredential: caller.caller !== 'unchecked' }
}

/**
 * @param caller - of a request
 * @returns the name of its account, if it has one
 */
export function accountNameOf (caller: Caller): string | undefined {
  return caller.caller === 'account' ? caller.account.name : undefined
}
