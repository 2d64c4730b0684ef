/** Faults of connections and endpoints: frozen and failing engines, and open connections that stall while new ones work. */
import { type Faults, waitFor } from 'anvilarch-standins'
import type { SilentRelay } from '../relay/silentRelay'
import { claimTarget, release } from './targets'
import type { FaultContext, FaultKind } from './types'

/** Longer than the inactivity timeout after which a stream is reopened, and shorter than the longest request. */
const ENGINE_FROM_MS = 3000
const ENGINE_UNTIL_MS = 12_000
const FAILING_SHARE = 0.5
/** Longer than a crashed engine takes to restart. */
const RESTART_BOUND_MS = 10_000
/** Stalled connections never recover; this only delays the next fault. */
const SILENT_HOLD_MS = 3000

/** An engine that accepts requests and responds to none. */
export const ENGINE_FROZEN = switchedEngine({ frozen: true }, { frozen: false })

/** An engine that responds to a share of its requests with an error while its health check succeeds. */
export const FAILING_ENGINE = switchedEngine({ failShare: FAILING_SHARE }, { failShare: 0 })

function switchedEngine (set: Partial<Faults>, back: Partial<Faults>): FaultKind {
  return {
    inject: async context => {
      const target = claimTarget(context, ['engine'])
      if (target === undefined) return undefined
      await setFaultsOnceUp(context, target, set)
      return {
        target,
        holdMs: context.random.between(ENGINE_FROM_MS, ENGINE_UNTIL_MS),
        heal: async () => {
          await setFaultsOnceUp(context, target, back)
          release(context, target)
        }
      }
    }
  }
}

/** Retries while the connection is refused, because the engine may be restarting after a crash. */
async function setFaultsOnceUp ({ fleet, clock }: FaultContext, target: string, changes: Partial<Faults>): Promise<void> {
  const isSet = async (): Promise<boolean> => {
    try {
      await fleet.setFaults(target, changes)
      return true
    } catch (error) {
      if ((error as { code?: string }).code === 'ECONNREFUSED') return false
      throw error
    }
  }
  await waitFor(isSet, { clock, timeoutMs: RESTART_BOUND_MS, what: `${target} to take a switch` })
}

/**
 * @param role - of the endpoint
 * @returns a fault that stalls its open connections
 */
export function endpointSilence (role: 'engine' | 'plain'): FaultKind {
  return {
    inject: async context => {
      const target = claimTarget(context, [role])
      if (target === undefined) return undefined
      await context.fleet.setFaults(target, { silence: true })
      return { target, holdMs: SILENT_HOLD_MS, heal: async () => { release(context, target) } }
    }
  }
}

/** Group of relays on which a connection fault acts. */
export type RelayPlace = 'agents' | 'platform'

/**
 * @param place - relays between gateways and agents, or between daemons and the platform
 * @returns a fault that stalls the open connections of one relay
 */
export function connectionSilence (place: RelayPlace): FaultKind {
  return {
    inject: async context => {
      const [name, relay] = pickRelay(context, place)
      return { target: `${relay.silence()} connections to ${name}`, holdMs: SILENT_HOLD_MS, heal: async () => {} }
    }
  }
}

/**
 * @param place - relays between gateways and agents, or between daemons and the platform
 * @returns a fault that delays the data on the open connections of one relay, so that it arrives after its sender has timed out
 */
export function connectionDelay (place: RelayPlace): FaultKind {
  return {
    inject: async context => {
      const [name, relay] = pickRelay(context, place)
      const held = relay.hold()
      return {
        target: `${held.connections} connections to ${name}`,
        holdMs: context.random.between(DELAY_FROM_MS, DELAY_UNTIL_MS),
        heal: async () => { held.release() }
      }
    }
  }
}

/** Longer than the inactivity timeout after which a gateway requests an attempt over another connection. */
const DELAY_FROM_MS = 2000
const DELAY_UNTIL_MS = 7000

function pickRelay ({ relays, random }: FaultContext, place: RelayPlace): [string, SilentRelay] {
  return random.pick<[string, SilentRelay]>([...relays[place]])
}
