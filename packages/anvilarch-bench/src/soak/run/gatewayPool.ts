/** Asks gateways whether they are ready, as the platform's balancer does, and chooses among those that are. */
import { respondsOk, type Fleet } from 'anvilarch-standins'
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import type { GatewayAddress, GatewayPool } from '../load/types'

/** A pool that goes on asking until it is stopped. */
export interface WatchedGatewayPool extends GatewayPool {
  stop: () => void
}

const ASK_INTERVAL_MS = 200

/**
 * @param fleet - whose gateways
 * @param clock - paces the questions
 * @param random - chooses
 * @returns the pool
 */
export function createGatewayPool (fleet: Fleet, clock: Clock, random: Random): WatchedGatewayPool {
  const stopping = new AbortController()
  const gateways = fleet.processes('gateway').map(({ spec }) => ({ name: spec.name, origin: spec.addresses.callers, readyUrl: spec.readyUrl, isReady: true }))

  const watch = async (gateway: typeof gateways[number]): Promise<void> => {
    while (!stopping.signal.aborted) {
      gateway.isReady = await respondsOk(gateway.readyUrl)
      await sleep(clock, ASK_INTERVAL_MS, stopping.signal)
    }
  }
  for (const gateway of gateways) watch(gateway).catch(() => {})

  const pickFrom = (candidates: typeof gateways): GatewayAddress => {
    const ready = candidates.filter(gateway => gateway.isReady)
    return random.pick(ready.length > 0 ? ready : candidates)
  }
  return {
    pick: () => pickFrom(gateways),
    pickOther: name => pickFrom(gateways.filter(gateway => gateway.name !== name)),
    stop: () => { stopping.abort() }
  }
}
