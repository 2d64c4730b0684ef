/** Faults caused by callers: requests that crash endpoints, items that always fail, slow, disconnecting and flooding callers. */
import type { FaultKind, CallerSwitch } from './types'

const MIN_DURATION_MS = 4000
const MAX_DURATION_MS = 8000

/**
 * @param name - switch of the load
 * @returns a fault that turns on the switch for some seconds
 */
export function callerFault (name: CallerSwitch): FaultKind {
  return {
    inject: async ({ load, random }) => {
      if (load[name]) return undefined
      load[name] = true
      return {
        target: 'callers',
        durationMs: random.between(MIN_DURATION_MS, MAX_DURATION_MS),
        heal: async () => { load[name] = false }
      }
    }
  }
}
