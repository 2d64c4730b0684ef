/** Faults of the platform: outages, latency and lost replies of its stores, and a higher lag of the host list. */
import type { Faults } from 'anvilarch-standins'
import { claim, release } from './targets'
import type { FaultKind } from './types'

/** Stand-ins of the platform. */
export type PlatformName = 'table' | 'objects' | 'hosts'

/** Settings of a stand-in during and after a fault. */
export interface SwitchedFault {
  standin: PlatformName
  set: Partial<Faults>
  back: Partial<Faults>
}

const HOLD_FROM_MS = 5000
const HOLD_UNTIL_MS = 20_000

/**
 * @param fault - settings of a stand-in
 * @returns a fault that applies them for some seconds
 */
export function switched (fault: SwitchedFault): FaultKind {
  return {
    inject: async context => {
      if (!claim(context, fault.standin)) return undefined
      await context.fleet.setFaults(fault.standin, fault.set)
      return {
        target: fault.standin,
        holdMs: context.random.between(HOLD_FROM_MS, HOLD_UNTIL_MS),
        heal: async () => {
          await context.fleet.setFaults(fault.standin, fault.back)
          release(context, fault.standin)
        }
      }
    }
  }
}
