/** Authentication and rate limits at a gateway: maps keys to accounts and tracks the usage of each account across the fleet. */
import { runInBackground } from 'anvilarch-utils'
import { type CallerAuthenticator, createCallerAuthenticator } from '../accounts/callerAuthenticator'
import { createAccountLimits } from '../accounts/limits/accountLimits'
import type { RateLimiter } from '../accounts/limits/rateLimiter'
import type { ClientAccount } from '../accounts/types'
import type { PeerMessage } from '../endpoints/peerMessages'
import type { PeerAddress } from '../endpoints/peerSocket'
import { MAX_REPORTED_ACCOUNTS, registerAccountUsage } from '../operations/accountUsage'
import type { HeartbeatDetails } from '../peers/heartbeat'
import { longestReturnMs } from '../requests/callerReturn'
import type { PlatformView } from './followPlatform'
import type { RoleContext } from './types'

/** Authentication and rate limits at a gateway. */
export interface GatewayAccounts {
  callers: CallerAuthenticator
  limits: RateLimiter
  /** @returns whether this gateway may have missed revoked keys and must fail closed */
  isConfigurationStale: () => boolean
  /** Handles a permit message from another gateway. */
  onMessage: (message: PeerMessage, from: PeerAddress) => void
  /** @returns additional heartbeat fields; undefined until the members have been listed */
  heartbeatDetails: (storeNowMs: number) => HeartbeatDetails | undefined
}

/** Options of `createGatewayAccounts`. */
export interface GatewayAccountsOptions {
  context: RoleContext
  view: PlatformView
  send: (message: PeerMessage, to: PeerAddress) => void
}

/**
 * Creates authentication and rate limits for a gateway.
 *
 * @param options - context, copies of the state in the store, and sender of peer messages
 * @returns authentication and rate limits
 */
export function createGatewayAccounts ({ context, view, send }: GatewayAccountsOptions): GatewayAccounts {
  const { settings, clock, log } = context
  const currentVersion = (): number => view.configuration.current()?.version ?? 0
  const accountNamed = (name: string): ClientAccount | undefined => view.configuration.current()?.accounts?.byName(name)
  const callers = createCallerAuthenticator({ clock, configuration: view.configuration, refresh: view.refreshConfiguration })

  /** Refreshes the configuration if a peer has a newer version. This gateway may be cut off from the feed while others receive it. */
  const onPeerVersion = (version: number): void => {
    if (version > currentVersion()) runInBackground(log, 'read a newer configuration', callers.refreshConfiguration)
  }

  const storeAnsweredAtMs = (): number | undefined => {
    const answerAgeMs = context.store.answerAgeMs()
    return answerAgeMs === Infinity ? undefined : clock.nowMs() - answerAgeMs
  }

  const { limits, meters, onMessage } = createAccountLimits({
    clock,
    log,
    ownName: settings.name,
    bounds: settings.limitBounds,
    account: accountNamed,
    longestReturnMs: () => longestReturnMs(Math.max(0, ...(view.configuration.current()?.routes ?? []).map(route => route.timeoutMs))),
    members: () => [...view.work.members()].map(member => member.record),
    storeNowMs: context.store.storeNowMs,
    storeAnsweredAtMs,
    configurationVersion: currentVersion,
    onPeerVersion,
    send
  })
  registerAccountUsage(context.metrics.registry, () => meters.busiest(MAX_REPORTED_ACCOUNTS))
  view.configuration.onChange(({ accounts }) => meters.retain(name => accounts?.byName(name) !== undefined))

  return {
    callers,
    limits,
    isConfigurationStale: () => settings.failsClosed && view.freshness(context.wire.operator.configurationTable).ageMs() > settings.maxRevocationDelayMs,
    onMessage,
    heartbeatDetails: storeNowMs => {
      if (view.work.membersListedAtVersion() === undefined) return undefined
      const previous = view.work.member(settings.name)?.record
      const restarted = previous !== undefined && previous.aliveUntilMs > storeNowMs
      return { knownSinceMs: (restarted ? previous.knownSinceMs : undefined) ?? storeNowMs }
    }
  }
}
