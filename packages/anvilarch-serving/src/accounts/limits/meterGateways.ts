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

/**
 * @param members - daemons as listed by the store
 * @param storeNowMs - current store time
 * @returns gateways that may keep meters; while none has settled, as after the first start of a fleet, all that are alive
 */
export function eligibleMeterGateways (members: Iterable<MemberRecord>, storeNowMs: number): MeterGateway[] {
  const alive = [...members].filter(member => member.role === 'gateway' && member.aliveUntilMs > storeNowMs)
  const settled = alive.filter(member => storeNowMs - (member.knownSinceMs ?? 0) >= SETTLING_MS)
  return settled.length > 0 ? settled : alive
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
