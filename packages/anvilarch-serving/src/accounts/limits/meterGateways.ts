/** Chooses the gateways that keep the meter of an account. All gateways choose alike, without asking each other. */
import { v3 as murmurhash } from 'murmurhash'
import type { MemberRecord } from '../../jobs/types'

/** A gateway as a place for meters. */
export type MeterGateway = Pick<MemberRecord, 'name' | 'peerAddress'>

/**
 * A gateway keeps meters once all others have had time to list it: they list each other about every ten seconds. Sooner, some
 * would ask it and some its predecessor, and each of the two would grant the whole limit.
 */
export const SETTLING_MS = 15_000

/**
 * @param members - daemons as the store lists them
 * @param storeNowMs - the store's clock
 * @returns gateways that keep meters; while none has settled, as after the first start of a fleet, all that are alive
 */
export function eligibleMeterGateways (members: Iterable<MemberRecord>, storeNowMs: number): MeterGateway[] {
  const living = [...members].filter(member => member.role === 'gateway' && member.aliveUntilMs > storeNowMs)
  const settled = living.filter(member => storeNowMs - (member.knownSinceMs ?? 0) >= SETTLING_MS)
  return settled.length > 0 ? settled : living
}

/**
 * Rendezvous hashing: the loss of a gateway moves the meters of that one only.
 *
 * @param places - gateways that keep meters
 * @param accountName - whose meter
 * @returns the first two choices, as far as there are so many
 */
export function selectMeterGateways (places: readonly MeterGateway[], accountName: string): MeterGateway[] {
  let home: { place: MeterGateway, weight: number } | undefined
  let deputy: { place: MeterGateway, weight: number } | undefined
  for (const place of places) {
    const ranked = { place, weight: murmurhash(accountName + '/' + place.name) }
    if (home === undefined || ranked.weight > home.weight) {
      deputy = home
      home = ranked
    } else if (deputy === undefined || ranked.weight > deputy.weight) {
      deputy = ranked
    }
  }
  return [home, deputy].flatMap(choice => choice === undefined ? [] : [choice.place])
}
