/** The meters that this gateway keeps, for itself and for other gateways. */
import type { Clock } from 'anvilarch-utils'
import type { ClientAccount } from '../types'
import { type AccountMeter, createMeter, refundPermits, type Grant, grantPermits, type PermitDemand } from './accountMeter'
import { initialBucket, grantLimits, type Granter, type LimitBounds } from './limitBounds'
import { createUsageWindow, type AccountUsage } from './usageWindow'

/** Meters by account. */
export interface AccountMeters {
  /** @returns the grant; undefined when the account is not in the local configuration */
  grant: (accountName: string, granter: Granter, demand: PermitDemand) => Grant | undefined
  refund: (accountName: string, granter: Granter, count: number) => void
  /** Removes the meters of accounts that no longer exist. */
  retain: (isKnown: (accountName: string) => boolean) => void
  size: () => number
  /** @returns recent usage of the accounts whose meter is here, the busiest first */
  busiest: (limit: number) => AccountUsage[]
}

/** Options of `createAccountMeters`. */
export interface AccountMetersOptions {
  clock: Clock
  bounds: LimitBounds
  account: (name: string) => ClientAccount | undefined
  gatewayCount: () => number
}

/**
 * Creates meters on demand. Their number is bounded by the accounts of the configuration, since other names get no meter.
 *
 * @param options - accounts and bounds
 * @returns an empty set of meters
 */
export function createAccountMeters (options: AccountMetersOptions): AccountMeters {
  const { clock, bounds } = options
  const metersOf: Record<Granter, Map<string, AccountMeter>> = { home: new Map(), deputy: new Map(), self: new Map() }
  const usage = createUsageWindow(bounds.windowMs)
  const limitsOf = (account: ClientAccount, granter: Granter): ReturnType<typeof grantLimits> => grantLimits(account, bounds, granter, options.gatewayCount())

  return {
    grant: (accountName, granter, demand) => {
      const account = options.account(accountName)
      if (account === undefined) return undefined
      if (account.requestsPerSecond === 0) return { granted: demand.wanted, retryAfterMs: 0, turnIntervalMs: 0, usedPerSecond: 0 }
      const nowMs = clock.nowMs()
      const limits = limitsOf(account, granter)
      const before = metersOf[granter].get(accountName) ?? createMeter(initialBucket(account, bounds, limits, nowMs))
      const { meter, grant } = grantPermits(before, demand, limits, nowMs)
      metersOf[granter].set(accountName, meter)
      usage.add(accountName, grant.granted, demand.wanted - grant.granted + demand.deniedUnasked, nowMs)
      return grant
    },
    refund: (accountName, granter, count) => {
      const account = options.account(accountName)
      const meter = metersOf[granter].get(accountName)
      if (account === undefined || meter === undefined) return
      metersOf[granter].set(accountName, refundPermits(meter, count, limitsOf(account, granter)))
    },
    retain: isKnown => {
      for (const meters of Object.values(metersOf)) for (const name of meters.keys()) if (!isKnown(name)) meters.delete(name)
    },
    busiest: limit => usage.busiest(limit, clock.nowMs()),
    size: () => Object.values(metersOf).reduce((sum, meters) => sum + meters.size, 0)
  }
}
