/** The meters that this gateway keeps, for itself and for other gateways. */
import { type BucketLimits, type Clock, refill } from 'anvilarch-utils'
import type { ClientAccount } from '../types'
import { type AccountMeter, createMeter, refundPermits, type Grant, grantPermits, type PermitDemand } from './accountMeter'
import { initialBucket, grantLimits, type Granter, type LimitBounds } from './limitBounds'
import { createUsageWindow, type AccountUsage } from './usageWindow'

/** Meters by account. */
export interface AccountMeters {
  /** @returns the grant; undefined when the account is not in the local configuration */
  grant: (accountName: string, granter: Granter, demand: PermitDemand) => Grant | undefined
  refund: (accountName: string, granter: Granter, count: number) => void
  /** Removes the meters of accounts whose home is another gateway. @returns their accounts, and the permits that have not been granted */
  releaseHomes: (isOther: (accountName: string) => boolean) => ReleasedMeter[]
  /** Adds the permits that the previous home of a meter has not granted. */
  takeOver: (released: ReleasedMeter) => void
  /** Removes the meters of accounts that no longer exist. */
  retain: (isKnown: (accountName: string) => boolean) => void
  size: () => number
  /** @returns recent usage of the accounts whose meter is here, the busiest first */
  busiest: (limit: number) => AccountUsage[]
}

/** Permits that a home has not granted when another gateway takes its place. */
export interface ReleasedMeter {
  accountName: string
  permits: number
}

/** Options of `createAccountMeters`. */
export interface AccountMetersOptions {
  clock: Clock
  bounds: LimitBounds
  account: (name: string) => ClientAccount | undefined
  gatewayCount: () => number
  /** @returns the longest time after which a denied caller returns */
  longestReturnMs: () => number
  /** @returns whether other gateways hand meters over to this one, so that a new meter starts without permits */
  isTakingOver?: () => boolean
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

  const newMeter = (account: ClientAccount, granter: Granter, limits: BucketLimits, nowMs: number): AccountMeter => {
    const handedOver = granter === 'home' && options.isTakingOver?.() === true
    return createMeter(handedOver ? { tokens: 0, updatedMs: nowMs } : initialBucket(account, bounds, limits, nowMs))
  }

  return {
    grant: (accountName, granter, demand) => {
      const account = options.account(accountName)
      if (account === undefined) return undefined
      if (account.requestsPerSecond === 0) return { granted: demand.wanted, retryAfterMs: 0, turnIntervalMs: 0, usedPerSecond: 0 }
      const nowMs = clock.nowMs()
      const limits = limitsOf(account, granter)
      const before = metersOf[granter].get(accountName) ?? newMeter(account, granter, limits, nowMs)
      const { meter, grant } = grantPermits(before, demand, { ...limits, longestReturnMs: options.longestReturnMs() }, nowMs)
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
    releaseHomes: isOther => [...metersOf.home.keys()].filter(isOther).flatMap(accountName => {
      const account = options.account(accountName)
      const meter = metersOf.home.get(accountName)
      metersOf.home.delete(accountName)
      if (account === undefined || meter === undefined) return []
      return [{ accountName, permits: Math.floor(refill(meter.bucket, limitsOf(account, 'home'), clock.nowMs()).tokens) }]
    }),
    takeOver: ({ accountName, permits }) => {
      const account = options.account(accountName)
      if (account === undefined) return
      const nowMs = clock.nowMs()
      const limits = limitsOf(account, 'home')
      const meter = metersOf.home.get(accountName) ?? createMeter({ tokens: 0, updatedMs: nowMs })
      metersOf.home.set(accountName, refundPermits(meter, permits, limits))
    },
    retain: isKnown => {
      for (const meters of Object.values(metersOf)) for (const name of meters.keys()) if (!isKnown(name)) meters.delete(name)
    },
    busiest: limit => usage.busiest(limit, clock.nowMs()),
    size: () => Object.values(metersOf).reduce((sum, meters) => sum + meters.size, 0)
  }
}
