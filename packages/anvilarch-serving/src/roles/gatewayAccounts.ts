/** Authentication and rate limits at a gateway: maps keys to accounts and tracks the usage of each account across the fleet. */
import { runInBackground } from 'anvilarch-utils'
import { type CallerAuthenticator, createCallerAuthenticator } from '../accounts/callerAuthenticator'
import { createAccountMeters } from '../accounts/limits/accountMeters'
import { selectMeterGateways, type MeterGateway, eligibleMeterGateways } from '../accounts/limits/meterGateways'
import { createPermitClient } from '../accounts/limits/permitClient'
import { createRateLimiter, type RateLimiter } from '../accounts/limits/rateLimiter'
import type { ClientAccount } from '../accounts/types'
import type { PeerMessage } from '../endpoints/peerMessages'
import type { PeerAddress } from '../endpoints/peerSocket'
import { MAX_REPORTED_ACCOUNTS, registerAccountUsage } from '../operations/accountUsage'
import type { HeartbeatDetails } from '../peers/heartbeat'
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

/** Refresh interval of the list of meter gateways, which changes every few seconds at most. */
const PLACES_INTERVAL_MS = 1000

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
  const places = createPlaces(context, view)
  const meters = createAccountMeters({ clock, bounds: settings.limitBounds, account: accountNamed, gatewayCount: () => places().length })
  const asker = createPermitClient({ clock, send, configurationVersion: currentVersion })
  const limits = createRateLimiter({ clock, log, ownName: settings.name, meters, permitClient: asker, meterGatewaysOf: name => selectMeterGateways(places(), name) })
  registerAccountUsage(context.metrics.registry, () => meters.busiest(MAX_REPORTED_ACCOUNTS))
  view.configuration.onChange(({ accounts }) => meters.retain(name => accounts?.byName(name) !== undefined))

  /** Refreshes the configuration if a peer has a newer version. This gateway may be cut off from the feed while others receive it. */
  const onVersion = (version: number): void => {
    if (version > currentVersion()) runInBackground(log, 'read a newer configuration', callers.refreshConfiguration)
  }

  const handlers: Partial<{ [Kind in PeerMessage['message']]: (message: Extract<PeerMessage, { message: Kind }>, from: PeerAddress) => void }> = {
    permit_request: (question, from) => {
      onVersion(question.configurationVersion)
      const grant = limits.onPermitRequest(question)
      if (grant !== undefined) send({ message: 'permit_response', correlationId: question.correlationId, ...grant, configurationVersion: currentVersion() }, from)
    },
    permit_response: (answer, from) => {
      onVersion(answer.configurationVersion)
      asker.onResponse(answer, from)
    },
    permit_refund: limits.onPermitRefund
  }

  return {
    callers,
    limits,
    isConfigurationStale: () => {
      if (!settings.failsClosed) return false
      const heardAtMs = view.answeredAtMs(context.wire.operator.configurationTable)
      return heardAtMs === undefined || clock.nowMs() - heardAtMs > settings.maxRevocationDelayMs
    },
    onMessage: (message, from) => handlers[message.message]?.(message as never, from),
    heartbeatDetails: storeNowMs => {
      if (view.work.membersListedAtVersion() === undefined) return undefined
      const before = view.work.member(settings.name)?.record
      const restarted = before !== undefined && before.aliveUntilMs > storeNowMs
      return { knownSinceMs: (restarted ? before.knownSinceMs : undefined) ?? storeNowMs }
    }
  }
}

/** @returns a function that returns the gateways that keep meters, at most one second old */
function createPlaces ({ clock, store }: RoleContext, { work }: PlatformView): () => readonly MeterGateway[] {
  let known: MeterGateway[] = []
  let readAtMs = -Infinity
  return () => {
    const nowMs = clock.nowMs()
    // An empty list is not reused: shortly after the start, the gateways have not been listed yet.
    if (known.length > 0 && nowMs - readAtMs < PLACES_INTERVAL_MS) return known
    readAtMs = nowMs
    // While the store's clock is unknown, the last list of live gateways stays in use.
    const storeNowMs = store.storeNowMs()
    if (storeNowMs !== undefined) known = eligibleMeterGateways([...work.members()].map(member => member.record), storeNowMs)
    return known
  }
}
