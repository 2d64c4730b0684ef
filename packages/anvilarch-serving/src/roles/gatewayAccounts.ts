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
const METER_GATEWAYS_REFRESH_MS = 1000

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
  const meterGateways = createMeterGatewayList(context, view)
  const meters = createAccountMeters({ clock, bounds: settings.limitBounds, account: accountNamed, gatewayCount: () => meterGateways().length })
  const permitClient = createPermitClient({ clock, send, configurationVersion: currentVersion })
  const limits = createRateLimiter({ clock, log, ownName: settings.name, meters, permitClient, meterGatewaysOf: name => selectMeterGateways(meterGateways(), name) })
  registerAccountUsage(context.metrics.registry, () => meters.busiest(MAX_REPORTED_ACCOUNTS))
  view.configuration.onChange(({ accounts }) => meters.retain(name => accounts?.byName(name) !== undefined))

  /** Refreshes the configuration if a peer has a newer version. This gateway may be cut off from the feed while others receive it. */
  const onPeerVersion = (version: number): void => {
    if (version > currentVersion()) runInBackground(log, 'read a newer configuration', callers.refreshConfiguration)
  }

  const handlers: Partial<{ [Kind in PeerMessage['message']]: (message: Extract<PeerMessage, { message: Kind }>, from: PeerAddress) => void }> = {
    permit_request: (request, from) => {
      onPeerVersion(request.configurationVersion)
      const grant = limits.onPermitRequest(request)
      if (grant !== undefined) send({ message: 'permit_response', correlationId: request.correlationId, ...grant, configurationVersion: currentVersion() }, from)
    },
    permit_response: (response, from) => {
      onPeerVersion(response.configurationVersion)
      permitClient.onResponse(response, from)
    },
    permit_refund: limits.onPermitRefund
  }

  return {
    callers,
    limits,
    isConfigurationStale: () => {
      if (!settings.failsClosed) return false
      const lastResponseMs = view.answeredAtMs(context.wire.operator.configurationTable)
      return lastResponseMs === undefined || clock.nowMs() - lastResponseMs > settings.maxRevocationDelayMs
    },
    onMessage: (message, from) => handlers[message.message]?.(message as never, from),
    heartbeatDetails: storeNowMs => {
      if (view.work.membersListedAtVersion() === undefined) return undefined
      const previous = view.work.member(settings.name)?.record
      const restarted = previous !== undefined && previous.aliveUntilMs > storeNowMs
      return { knownSinceMs: (restarted ? previous.knownSinceMs : undefined) ?? storeNowMs }
    }
  }
}

/** @returns a function that returns the gateways that keep meters, at most one second old */
function createMeterGatewayList ({ clock, store }: RoleContext, { work }: PlatformView): () => readonly MeterGateway[] {
  let current: MeterGateway[] = []
  let readAtMs = -Infinity
  return () => {
    const nowMs = clock.nowMs()
    // An empty list is not reused: shortly after the start, the gateways have not been listed yet.
    if (current.length > 0 && nowMs - readAtMs < METER_GATEWAYS_REFRESH_MS) return current
    readAtMs = nowMs
    // While the store's clock is unknown, the last list of live gateways stays in use.
    const storeNowMs = store.storeNowMs()
    if (storeNowMs !== undefined) current = eligibleMeterGateways([...work.members()].map(member => member.record), storeNowMs)
    return current
  }
}
