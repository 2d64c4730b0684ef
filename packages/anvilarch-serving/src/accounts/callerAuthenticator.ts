/**
 * Authenticates callers. Before a key is refused, the configuration is read from the store, since this process may not have
 * received the version that contains the key.
 */
import { ageMs, type Clock, type Moment, momentNow, sleep } from 'anvilarch-utils'
import type { ConfigurationHolder } from '../configuration/configurationHolder'
import type { Configuration, Route } from '../model/types'
import { identifyCaller, type Identification } from './identifyCaller'
import type { Caller, Credential } from './types'

/** `unconfirmed`: the store has not confirmed whether a newer version contains the key. */
export type AuthenticationResult = Caller | { caller: 'unknown' } | { caller: 'unconfirmed' }

/** The data of a request on which authentication depends. */
export interface AuthenticationRequest {
  credential: Credential
  /** @returns the route in a version of the configuration */
  routeIn: (configuration: Configuration) => Pick<Route, 'isPublic'> | undefined
}

/** Authenticates callers. */
export interface CallerAuthenticator {
  authenticate: (request: AuthenticationRequest) => Promise<AuthenticationResult>
  /** Reads the configuration from the store, at most once in `REFRESH_INTERVAL_MS`. @returns whether the store responded in time */
  refreshConfiguration: () => Promise<boolean>
}

/** Options of `createCallerAuthenticator`. */
export interface CallerAuthenticatorOptions {
  clock: Clock
  configuration: Pick<ConfigurationHolder, 'current'>
  /** Reads the configuration from the store and applies it. @returns whether the store has responded */
  refresh: () => Promise<boolean>
}

/** A response of the store is reused for this long, so that a flood of wrong keys costs it one call in this time. */
const REFRESH_INTERVAL_MS = 1000

/** How long a caller with an unknown key waits for the store. */
const REFRESH_TIMEOUT_MS = 400

/**
 * @param options - configuration and store
 * @returns the authenticator
 */
export function createCallerAuthenticator (options: CallerAuthenticatorOptions): CallerAuthenticator {
  const { clock } = options
  let lastRefresh: { sentAt: Moment, hasResponded: Promise<boolean> } | undefined

  const refreshConfiguration = async (): Promise<boolean> => {
    if (lastRefresh === undefined || ageMs(clock, lastRefresh.sentAt) >= REFRESH_INTERVAL_MS) lastRefresh = { sentAt: momentNow(clock), hasResponded: options.refresh() }
    return await Promise.race([lastRefresh.hasResponded, sleep(clock, REFRESH_TIMEOUT_MS).then(() => false)])
  }

  const identifyNow = ({ credential, routeIn }: AuthenticationRequest): Identification => {
    const configuration = options.configuration.current()
    return configuration === undefined ? { caller: 'unknown' } : identifyCaller(configuration, credential, () => routeIn(configuration))
  }

  return {
    refreshConfiguration,
    authenticate: async request => {
      const current = identifyNow(request)
      // Without a readable key, no newer version can give another result.
      if (current.caller !== 'unknown' || request.credential.credential !== 'key') return current
      const isConfirmed = await refreshConfiguration()
      const refreshed = identifyNow(request)
      return refreshed.caller === 'unknown' && !isConfirmed ? { caller: 'unconfirmed' } : refreshed
    }
  }
}
