/**
 * Follows which gateways keep meters, so that a meter has one home at any store time.
 *
 * Load: gateways are added while an account uses its whole limit. All gateways derive the home from the same rows and the same store
 * time, so that a home stops to grant when its successor begins.
 */
import type { Clock } from 'anvilarch-utils'
import type { MemberRecord } from '../../jobs/types'
import { eligibleMeterGateways, isFleetStarting, type MeterGateway, nextEligibilityChangeMs, selectMeterGateways, settlingTimes } from './meterGateways'

/** Gateways that keep meters, as of the current store time. */
export interface MeterHomes {
  gateways: () => readonly MeterGateway[]
  /**
   * @returns whether this gateway is the home of the account's meter, or another one may take it for the home by an incomplete list,
   *   as after the first start of a fleet
   */
  mayGrantAsHome: (accountName: string) => boolean
  /** @returns the home of the account's meter if it is another gateway */
  otherHome: (accountName: string) => MeterGateway | undefined
  /** @returns whether this gateway has been settled for less than the given time, so that other gateways hand meters over to it */
  isTakingOver: (windowMs: number) => boolean
}

/** Options of `createMeterHomes`. */
export interface MeterHomesOptions {
  clock: Clock
  ownName: string
  members: () => MemberRecord[]
  storeNowMs: () => number | undefined
  /** @returns local time at which the store made its latest response; undefined before the first */
  storeAnsweredAtMs: () => number | undefined
  /** Called after the list of gateways has changed. */
  onChanged: () => void
}

/** Longest time between two evaluations of the list of members. */
const MAX_LIST_AGE_MS = 1000

/** The wall clock is corrected in steps below this. A larger one is taken for a suspension of the host. */
const SUSPENSION_MS = 300

/**
 * @param options - members and clocks
 * @returns the gateways that keep meters
 */
export function createMeterHomes (options: MeterHomesOptions): MeterHomes {
  const { clock, ownName } = options
  let current: MeterGateway[] = []
  let isStarting = true
  let staleAtMs = -Infinity
  let wallLeadMs = clock.wallMs() - clock.nowMs()
  let suspendedAtMs = -Infinity

  /** The monotonic clock stops while the host is suspended, so that the estimate of the store's time is late until the next response. */
  const isStoreTimeLate = (): boolean => {
    const leadMs = clock.wallMs() - clock.nowMs()
    if (leadMs - wallLeadMs > SUSPENSION_MS) suspendedAtMs = clock.nowMs()
    wallLeadMs = leadMs
    return suspendedAtMs >= (options.storeAnsweredAtMs() ?? Infinity)
  }

  const gateways = (): readonly MeterGateway[] => {
    const nowMs = clock.nowMs()
    // An empty list is not reused: shortly after the start, the gateways have not been listed yet.
    if (current.length > 0 && nowMs < staleAtMs) return current
    const storeNowMs = options.storeNowMs()
    staleAtMs = nowMs + MAX_LIST_AGE_MS
    // While the store's clock is unknown, the last list of live gateways stays in use.
    if (storeNowMs === undefined) return current
    const members = options.members()
    staleAtMs = nowMs + Math.min(MAX_LIST_AGE_MS, nextEligibilityChangeMs(members, storeNowMs) - storeNowMs)
    const before = current
    isStarting = isFleetStarting(members, storeNowMs)
    current = eligibleMeterGateways(members, storeNowMs)
    if (namesOf(before) !== namesOf(current)) options.onChanged()
    return current
  }

  const otherHome = (accountName: string): MeterGateway | undefined => {
    const [home] = selectMeterGateways(gateways(), accountName)
    return home?.name === ownName ? undefined : home
  }

  return {
    gateways,
    otherHome,
    mayGrantAsHome: accountName => (otherHome(accountName) === undefined || isStarting) && !isStoreTimeLate(),
    isTakingOver: windowMs => {
      const storeNowMs = options.storeNowMs()
      if (storeNowMs === undefined) return false
      const own = [...settlingTimes(options.members(), storeNowMs)].find(([{ name }]) => name === ownName)
      if (own === undefined) return false
      const sinceSettledMs = storeNowMs - own[1]
      return sinceSettledMs >= 0 && sinceSettledMs < windowMs
    }
  }
}

function namesOf (gateways: readonly MeterGateway[]): string {
  return gateways.map(({ name }) => name).join()
}
