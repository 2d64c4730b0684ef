/**
 * Online requests at the engine beside the agent, between two looks at it: what the last look showed, and what gateways have
 * told since.
 */
import type { Clock } from 'anvilarch-utils'
import { USAGE_REPORT_INTERVAL_MS } from '../endpoints/usageReporter'

/** Online requests at the engine. */
export interface OnlineUsage {
  /** A gateway has told how many of its requests are in progress at this start of the engine. */
  onUsageReport: (gateway: string, startId: string, inProgress: number) => void
  /** The engine has been looked at. `online` counts its requests that are not batch items. */
  onPoll: (startId: string, online: number) => void
  /** @returns online requests now, as far as is known */
  online: () => number
}

/** A gateway that has told nothing for this long is gone, and with it its connections. */
const FORGET_AFTER_MS = 3 * USAGE_REPORT_INTERVAL_MS

interface GatewayUse {
  inProgress: number
  toldAtMs: number
}

/**
 * @param clock - local clock
 * @returns nothing in progress
 */
export function createOnlineUsage (clock: Clock): OnlineUsage {
  const gateways = new Map<string, GatewayUse>()
  let startId: string | undefined
  let seenOnline = 0
  /** What gateways had told when the engine was last looked at. */
  let toldAtLook = 0

  const told = (): number => {
    const nowMs = clock.nowMs()
    let sum = 0
    for (const [gateway, use] of gateways) {
      if (nowMs - use.toldAtMs > FORGET_AFTER_MS) gateways.delete(gateway)
      else sum += use.inProgress
    }
    return sum
  }

  const followStart = (next: string): void => {
    if (next === startId) return
    startId = next
    seenOnline = 0
    toldAtLook = 0
    gateways.clear()
  }

  return {
    onUsageReport: (gateway, noticedStartId, inProgress) => {
      // A notice about another start says nothing of this one.
      if (noticedStartId !== startId) return
      if (inProgress === 0) gateways.delete(gateway)
      else gateways.set(gateway, { inProgress, toldAtMs: clock.nowMs() })
    },
    onPoll: (seenStartId, online) => {
      followStart(seenStartId)
      seenOnline = online
      toldAtLook = told()
    },
    online: () => Math.max(0, seenOnline + told() - toldAtLook)
  }
}
