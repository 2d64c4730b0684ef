/** Faults of the platform: outages, latency and lost replies of its stores, and a higher lag of the host list. */
import type { Faults } from 'anvilarch-standins'
import { claim, release } from './targets'
import type { FaultKind } from './types'

/** Stand-ins of the platform. */
export type PlatformName = 'table' | 'objects' | 'hosts'

/** Settings of a stand-in during and after a fault. */
export interface StandinFault {
  standin: PlatformName
  set: Partial<Faults>
  restore: Partial<Faults>
}

const MIN_DURATION_MS = 5000
const MAX_DURATION_MS = 20_000

/**
 * @param fault - settings of a stand-in
 * @returns a fault that applies them for some seconds
 */
export function standinFault (fault: StandinFault): FaultKind {
  return {
    inject: async context => {
      if (!claim(context, fault.standin)) return undefined
      await context.fleet.setFaults(fault.standin, fault.set)
      return {
        target: fault.standin,
        durationMs: context.random.between(MIN_DURATION_MS, MAX_DURATION_MS),
        heal: async () => {
          await context.fleet.setFaults(fault.standin, fault.restore)
          release(context, fault.standin)
        }
      }
    }
  }
}
