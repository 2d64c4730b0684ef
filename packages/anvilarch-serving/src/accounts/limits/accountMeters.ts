/** The meters that this gateway keeps, for itself and for others. */
import type { Clock } from 'anvilarch-utils'
import type { ClientAccount } from '../types'
import { type AccountMeter, createMeter, refundPermits, type Grant, grantPermits } from './accountMeter'
import { initialBucket, grantLimits, type Granter, type LimitBounds } from './limitBounds'
import { createUsageWindow, type AccountUsage } from './usageWindow'

/** Meters by account. */
export interface AccountMeters {
  /** @returns what is granted; undefined when the account is not known here */
  grant: (accountName: string, granter: Granter, wanted: number) => Grant | undefined
  refund: (accountName: string, granter: Granter, count: number) => void
  /** Forgets meters of accounts that are gone. */
  retain: (isKnown: (accountName: string) => boolean) => void
  size: () => number
  /** @returns what accounts whose meter is here have used lately, the busiest first */
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
 * State is bounded by the accounts of the configuration: a name that is not among them has no meter.
 *
 * @param options - accounts and bounds
 * @returns no meters yet
 */
export function createAccountMeters (options: AccountMetersOptions): AccountMeters {
  const { clock, bounds } = options
  const metersOf: Record<Granter, Map<string, AccountMeter>> = { home: new Map(), deputy: new Map(), self: new Map() }
  const uses = createUsageWindow(bounds.windowMs)
  const limitsOf = (account: ClientAccount, granter: Granter): ReturnType<typeof grantLimits> => grantLimits(account, bounds, granter, options.gatewayCount())

  return {
    grant: (accountName, granter, wanted) => {
      const account = options.account(accountName)
      if (account === undefined) return undefined
      if (account.requestsPerSecond === 0) return { granted: wanted, retryAfterMs: 0 }
      const nowMs = clock.nowMs()
      const limits = limitsOf(account, granter)
      const before = metersOf[granter].get(accountName) ?? createMeter(initialBucket(account, bounds, limits, nowMs))
      const { meter, grant } = grantPermits(before, wanted, limits, nowMs)
      metersOf[granter].set(accountName, meter)
      uses.add(accountName, grant.granted, wanted - grant.granted, nowMs)
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
    busiest: limit => uses.busiest(limit, clock.nowMs()),
    size: () => Object.values(metersOf).reduce((sum, meters) => sum + meters.size, 0)
  }
}
