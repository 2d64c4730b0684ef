/** The rate limits of accounts at one gateway: its meters, those of other gateways, and meters that move between them. Free of I/O. */
import type { Clock } from 'anvilarch-utils'
import type { PeerMessage } from '../../endpoints/peerMessages'
import { parsePeerAddress, type PeerAddress } from '../../endpoints/peerSocket'
import type { EventLog } from '../../telemetry/events'
import type { ClientAccount } from '../types'
import { type AccountMeters, createAccountMeters } from './accountMeters'
import type { LimitBounds } from './limitBounds'
import { selectMeterGateways } from './meterGateways'
import { createMeterHomes, type MeterHomesOptions } from './meterHomes'
import { createPermitClient } from './permitClient'
import { createRateLimiter, type RateLimiter } from './rateLimiter'

/** Rate limits at a gateway. */
export interface AccountLimits {
  limits: RateLimiter
  meters: AccountMeters
  /** Handles a message about permits or meters from another gateway. */
  onMessage: (message: PeerMessage, from: PeerAddress) => void
}

/** Options of `createAccountLimits`. */
export interface AccountLimitsOptions extends Omit<MeterHomesOptions, 'onChanged'> {
  clock: Clock
  log: EventLog
  bounds: LimitBounds
  account: (name: string) => ClientAccount | undefined
  /** @returns the longest time after which a denied caller returns */
  longestReturnMs: () => number
  /** Version of the configuration in force at this gateway. */
  configurationVersion: () => number
  /** Called with the version of another gateway. */
  onPeerVersion: (version: number) => void
  send: (message: PeerMessage, to: PeerAddress) => void
}

type MessageHandlers = Partial<{ [Kind in PeerMessage['message']]: (message: Extract<PeerMessage, { message: Kind }>, from: PeerAddress) => void }>

/**
 * @param options - members, accounts, clocks and the sender of messages
 * @returns rate limits without meters
 */
export function createAccountLimits (options: AccountLimitsOptions): AccountLimits {
  const { clock, log, bounds, send, configurationVersion, onPeerVersion } = options

  const releaseMeters = (): void => {
    for (const released of meters.releaseHomes(name => homes.otherHome(name) !== undefined)) {
      const home = homes.otherHome(released.accountName)
      if (home === undefined) continue
      log.info('meter handed over', { account: released.accountName, home: home.name, permits: released.permits })
      send({ message: 'meter_handover', ...released }, parsePeerAddress(home.peerAddress))
    }
  }

  const homes = createMeterHomes({ ...options, onChanged: () => releaseMeters() })
  const meters = createAccountMeters({
    clock,
    bounds,
    account: options.account,
    longestReturnMs: options.longestReturnMs,
    gatewayCount: () => homes.gateways().length,
    isTakingOver: () => homes.isTakingOver(bounds.windowMs)
  })
  const permitClient = createPermitClient({ clock, send, configurationVersion })
  const limits = createRateLimiter({
    clock,
    log,
    ownName: options.ownName,
    meters,
    permitClient,
    meterGatewaysOf: name => selectMeterGateways(homes.gateways(), name),
    mayGrantAsHome: homes.mayGrantAsHome
  })

  const handlers: MessageHandlers = {
    permit_request: (request, from) => {
      onPeerVersion(request.configurationVersion)
      const grant = limits.onPermitRequest(request)
      if (grant !== undefined) send({ message: 'permit_response', correlationId: request.correlationId, ...grant, configurationVersion: configurationVersion() }, from)
    },
    permit_response: (response, from) => {
      onPeerVersion(response.configurationVersion)
      permitClient.onResponse(response, from)
    },
    permit_refund: limits.onPermitRefund,
    meter_handover: meters.takeOver
  }
  return { limits, meters, onMessage: (message, from) => handlers[message.message]?.(message as never, from) }
}
