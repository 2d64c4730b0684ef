/** Faults caused by callers: requests that crash endpoints, items that always fail, slow, disconnecting and flooding callers. */
import type { FaultKind, SwitchName } from './types'

const HOLD_FROM_MS = 4000
const HOLD_UNTIL_MS = 8000

/**
 * @param name - switch of the load
 * @returns a fault that turns on the switch for some seconds
 */
export function callers (name: SwitchName): FaultKind {
  return {
    inject: async ({ load, random }) => {
      if (load[name]) return undefined
      load[name] = true
      return {
        target: 'callers',
        holdMs: random.between(HOLD_FROM_MS, HOLD_UNTIL_MS),
        heal: async () => { load[name] = false }
      }
    }
  }
}
