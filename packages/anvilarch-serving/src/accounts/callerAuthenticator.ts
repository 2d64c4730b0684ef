/** Identifies callers, and makes sure that a key is not refused only because this process has not heard of it yet. */
import { type Clock, sleep } from 'anvilarch-utils'
import type { ConfigurationHolder } from '../configuration/configurationHolder'
import type { Configuration, Route } from '../model/types'
import { identifyCaller, type Identification } from './identifyCaller'
import type { Caller, Credential } from './types'

/** `unconfirmed`: the store has not said whether there is a newer version that knows the key. */
export type AuthenticationResult = Caller | { caller: 'unknown' } | { caller: 'unconfirmed' }

/** A request as far as its caller depends on it. */
export interface AuthenticationRequest {
  credential: Credential
  /** @returns the route in a version of the configuration */
  routeIn: (configuration: Configuration) => Pick<Route, 'isPublic'> | undefined
}

/** Identifies callers. */
export interface CallerAuthenticator {
  authenticate: (question: AuthenticationRequest) => Promise<AuthenticationResult>
  /** Reads the configuration from the store, at most once in `CONFIRM_INTERVAL_MS`. @returns whether the store has answered */
  refreshConfiguration: () => Promise<boolean>
}

/** Options of `createCallerAuthenticator`. */
export interface CallerAuthenticatorOptions {
  clock: Clock
  configuration: Pick<ConfigurationHolder, 'current'>
  /** Reads the configuration and puts it in force. @returns whether the store has answered */
  refresh: () => Promise<boolean>
}

/** What the store has said holds for this long, so that a flood of wrong keys costs it one call in this time. */
const CONFIRM_INTERVAL_MS = 1000

/** How long a caller with an unknown key waits for the store. */
const CONFIRM_PATIENCE_MS = 400

/**
 * @param options - configuration and store
 * @returns the check
 */
export function createCallerAuthenticator (options: CallerAuthenticatorOptions): CallerAuthenticator {
  const { clock } = options
  let asked: { atMs: number, answer: Promise<boolean> } | undefined

  const confirm = async (): Promise<boolean> => {
    if (asked === undefined || clock.nowMs() - asked.atMs >= CONFIRM_INTERVAL_MS) asked = { atMs: clock.nowMs(), answer: options.refresh() }
    return await Promise.race([asked.answer, sleep(clock, CONFIRM_PATIENCE_MS).then(() => false)])
  }

  const identifyNow = ({ credential, routeIn }: AuthenticationRequest): Identification => {
    const configuration = options.configuration.current()
    return configuration === undefined ? { caller: 'unknown' } : identifyCaller(configuration, credential, () => routeIn(configuration))
  }

  return {
    refreshConfiguration: confirm,
    authenticate: async question => {
      const known = identifyNow(question)
      // Without a readable key no other version can know better.
      if (known.caller !== 'unknown' || question.credential.credential !== 'key') return known
      const confirmed = await confirm()
      const again = identifyNow(question)
      return again.caller === 'unknown' && !confirmed ? { caller: 'unconfirmed' } : again
    }
  }
}
