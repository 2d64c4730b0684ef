/** Selects the gateways that keep the meter of an account. All gateways make the same selection without communicating. */
import { v3 as murmurhash } from 'murmurhash'
import type { MemberRecord } from '../../jobs/types'

/** A gateway that may keep meters. */
export type MeterGateway = Pick<MemberRecord, 'name' | 'peerAddress'>

/**
 * A gateway keeps meters once all others have had time to list it: they list each other about every ten seconds. Otherwise some
 * would use it and some its predecessor, and each of the two would grant the whole limit.
 */
export const SETTLING_MS = 15_000

/** Gateways that are known within this time of the first one are started together, and list each other before clients come. */
const FIRST_START_MS = 5000

/**
 * @param members - daemons as listed by the store
 * @param storeNowMs - current store time
 * @returns live gateways, each with the store time from which it may keep meters; `-Infinity` for those of the first start
 */
export function settlingTimes (members: Iterable<MemberRecord>, storeNowMs: number): ReadonlyMap<MemberRecord, number> {
  const alive = aliveGateways(members, storeNowMs)
  const firstKnownMs = Math.min(...alive.map(knownSinceMs))
  const settledAtMs = (gateway: MemberRecord): number => knownSinceMs(gateway) - firstKnownMs < FIRST_START_MS ? -Infinity : knownSinceMs(gateway) + SETTLING_MS
  return new Map(alive.map(gateway => [gateway, settledAtMs(gateway)]))
}

/**
 * @param members - daemons as listed by the store
 * @param storeNowMs - current store time
 * @returns whether the fleet has just started, so that some gateways have not listed the others yet
 */
export function isFleetStarting (members: Iterable<MemberRecord>, storeNowMs: number): boolean {
  return storeNowMs - Math.min(...aliveGateways(members, storeNowMs).map(knownSinceMs)) < SETTLING_MS
}

/**
 * @param members - daemons as listed by the store
 * @param storeNowMs - current store time
 * @returns gateways that may keep meters
 */
export function eligibleMeterGateways (members: Iterable<MemberRecord>, storeNowMs: number): MeterGateway[] {
  return [...settlingTimes(members, storeNowMs)].filter(([, settledAtMs]) => settledAtMs <= storeNowMs).map(([gateway]) => gateway)
}

/**
 * @param members - daemons as listed by the store
 * @param storeNowMs - current store time
 * @returns store time at which other gateways become eligible unless the rows change; `Infinity` if none do
 */
export function nextEligibilityChangeMs (members: Iterable<MemberRecord>, storeNowMs: number): number {
  const changesAtMs = [...settlingTimes(members, storeNowMs)].flatMap(([gateway, settledAtMs]) => [gateway.aliveUntilMs, settledAtMs])
  return Math.min(...changesAtMs.filter(atMs => atMs > storeNowMs), Infinity)
}

function aliveGateways (members: Iterable<MemberRecord>, storeNowMs: number): MemberRecord[] {
  return [...members].filter(member => member.role === 'gateway' && member.aliveUntilMs > storeNowMs)
}

function knownSinceMs (member: MemberRecord): number {
  return member.knownSinceMs ?? 0
}

/**
 * Selects the home and the deputy by rendezvous hashing, so that the loss of a gateway moves only the meters that it keeps.
 *
 * @param gateways - gateways that may keep meters
 * @param accountName - name of the meter's account
 * @returns the first two choices, home and deputy, or as many as there are gateways
 */
export function selectMeterGateways (gateways: readonly MeterGateway[], accountName: string): MeterGateway[] {
  let home: { gateway: MeterGateway, weight: number } | undefined
  let deputy: { gateway: MeterGateway, weight: number } | undefined
  for (const gateway of gateways) {
    const ranked = { gateway, weight: murmurhash(accountName + '/' + gateway.name) }
    if (home === undefined || ranked.weight > home.weight) {
      deputy = home
      home = ranked
    } else if (deputy === undefined || ranked.weight > deputy.weight) {
      deputy = ranked
    }
  }
  return [home, deputy].flatMap(choice => choice === undefined ? [] : [choice.gateway])
}
