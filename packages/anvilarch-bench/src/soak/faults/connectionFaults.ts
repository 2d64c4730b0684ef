/** Faults of connections and endpoints: frozen and failing engines, and open connections that stall while new ones work. */
import { type Faults, waitFor } from 'anvilarch-standins'
import type { FaultRelay } from '../relay/faultRelay'
import { claimTarget, release } from './targets'
import type { FaultContext, FaultKind } from './types'

/** Longer than the inactivity timeout after which a stream is reopened, and shorter than the longest request. */
const MIN_ENGINE_FAULT_MS = 3000
const MAX_ENGINE_FAULT_MS = 12_000
const FAILING_SHARE = 0.5
/** Longer than a crashed engine takes to restart. */
const RESTART_TIMEOUT_MS = 10_000
/** Stalled connections never recover; this only delays the next fault. */
const STALL_DURATION_MS = 3000

/** An engine that accepts requests and responds to none. */
export const ENGINE_FROZEN = engineFault({ frozen: true }, { frozen: false })

/** An engine that responds to a share of its requests with an error while its health check succeeds. */
export const FAILING_ENGINE = engineFault({ failShare: FAILING_SHARE }, { failShare: 0 })

function engineFault (set: Partial<Faults>, restore: Partial<Faults>): FaultKind {
  return {
    inject: async context => {
      const target = claimTarget(context, ['engine'])
      if (target === undefined) return undefined
      await setFaultsOnceUp(context, target, set)
      return {
        target,
        durationMs: context.random.between(MIN_ENGINE_FAULT_MS, MAX_ENGINE_FAULT_MS),
        heal: async () => {
          await setFaultsOnceUp(context, target, restore)
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
  await waitFor(isSet, { clock, timeoutMs: RESTART_TIMEOUT_MS, what: `${target} to take a switch` })
}

/**
 * @param role - of the endpoint
 * @returns a fault that stalls its open connections
 */
export function endpointStall (role: 'engine' | 'plain'): FaultKind {
  return {
    inject: async context => {
      const target = claimTarget(context, [role])
      if (target === undefined) return undefined
      await context.fleet.setFaults(target, { silence: true })
      return { target, durationMs: STALL_DURATION_MS, heal: async () => { release(context, target) } }
    }
  }
}

/** Group of relays on which a connection fault acts. */
export type RelayGroup = 'agents' | 'platform'

/**
 * @param group - relays between gateways and agents, or between daemons and the platform
 * @returns a fault that stalls the open connections of one relay
 */
export function connectionStall (group: RelayGroup): FaultKind {
  return {
    inject: async context => {
      const [name, relay] = pickRelay(context, group)
      return { target: `${relay.stall()} connections to ${name}`, durationMs: STALL_DURATION_MS, heal: async () => {} }
    }
  }
}

/**
 * @param group - relays between gateways and agents, or between daemons and the platform
 * @returns a fault that delays the data on the open connections of one relay, so that it arrives after its sender has timed out
 */
export function connectionDelay (group: RelayGroup): FaultKind {
  return {
    inject: async context => {
      const [name, relay] = pickRelay(context, group)
      const delayed = relay.delay()
      return {
        target: `${delayed.connections} connections to ${name}`,
        durationMs: context.random.between(MIN_DELAY_MS, MAX_DELAY_MS),
        heal: async () => { delayed.release() }
      }
    }
  }
}

/** Longer than the inactivity timeout after which a gateway requests an attempt over another connection. */
const MIN_DELAY_MS = 2000
const MAX_DELAY_MS = 7000

function pickRelay ({ relays, random }: FaultContext, group: RelayGroup): [string, FaultRelay] {
  return random.pick<[string, FaultRelay]>([...relays[group]])
}
