/** What a gateway knows of callers: whose a key is, and how much of its limit an account has used over the fleet. */
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

/** Callers and limits at a gateway. */
export interface GatewayAccounts {
  callers: CallerAuthenticator
  limits: RateLimiter
  /** @returns whether keys may have been taken away of which this gateway has not heard, and it is not to serve then */
  isConfigurationStale: () => boolean
  /** Takes a datagram about permits. */
  onMessage: (message: PeerMessage, from: PeerAddress) => void
  /** @returns what the heartbeat tells beside the fact that this gateway runs; undefined until the others are known */
  heartbeatDetails: (storeNowMs: number) => HeartbeatDetails | undefined
}

/** Options of `createGatewayAccounts`. */
export interface GatewayAccountsOptions {
  context: RoleContext
  view: PlatformView
  send: (message: PeerMessage, to: PeerAddress) => void
}

/** The list of gateways changes every few seconds at most. */
const PLACES_INTERVAL_MS = 1000

/**
 * @param options - settings, copies of the store and sender
 * @returns callers and limits
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

  /** The feed of the store may be cut off here while it reaches others. */
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

/** @returns a function that gives the gateways that keep meters, as of the last second */
function createPlaces ({ clock, store }: RoleContext, { work }: PlatformView): () => readonly MeterGateway[] {
  let known: MeterGateway[] = []
  let readAtMs = -Infinity
  return () => {
    const nowMs = clock.nowMs()
    // A process that has just started has not listed the gateways yet.
    if (known.length > 0 && nowMs - readAtMs < PLACES_INTERVAL_MS) return known
    readAtMs = nowMs
    // While the store's clock is not known, those who were alive last stay the ones that are asked.
    const storeNowMs = store.storeNowMs()
    if (storeNowMs !== undefined) known = eligibleMeterGateways([...work.members()].map(member => member.record), storeNowMs)
    return known
  }
}
