/** Polls the readiness of gateways, as the platform's load balancer does, and picks among the ready ones. */
import { respondsOk, type Fleet } from 'anvilarch-standins'
import { type Clock, type Random, sleep } from 'anvilarch-utils'
import type { GatewayAddress, GatewayPool } from '../load/types'

/** A gateway pool that polls until it is stopped. */
export interface PollingGatewayPool extends GatewayPool {
  stop: () => void
}

const READINESS_POLL_MS = 200

/**
 * @param fleet - runs the gateways
 * @param clock - paces the polls
 * @param random - picks among ready gateways
 * @returns the pool
 */
export function createGatewayPool (fleet: Fleet, clock: Clock, random: Random): PollingGatewayPool {
  const stopping = new AbortController()
  const gateways = fleet.processes('gateway').map(({ spec }) => ({ name: spec.name, origin: spec.addresses.callers, readyUrl: spec.readyUrl, isReady: true }))

  const watch = async (gateway: typeof gateways[number]): Promise<void> => {
    while (!stopping.signal.aborted) {
      gateway.isReady = await respondsOk(gateway.readyUrl)
      await sleep(clock, READINESS_POLL_MS, stopping.signal)
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
