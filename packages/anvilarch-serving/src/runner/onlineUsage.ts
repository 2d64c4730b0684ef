/**
 * Online requests at the local engine between two polls: the count of the last poll, and the usage reports of gateways since
 * then.
 */
import type { Clock } from 'anvilarch-utils'
import { USAGE_REPORT_INTERVAL_MS } from '../endpoints/usageReporter'

/** Online requests at the engine. */
export interface OnlineUsage {
  /** Handles a gateway's report of how many of its requests are in progress at a start of the engine. */
  onUsageReport: (gateway: string, startId: string, inProgress: number) => void
  /** Handles a poll of the engine. `online` counts its requests that are not batch items. */
  onPoll: (startId: string, online: number) => void
  /** @returns the current number of online requests, as far as reported */
  online: () => number
}

/** A gateway that has sent no report for this long is considered failed, and its connections closed. */
const USAGE_TTL_MS = 3 * USAGE_REPORT_INTERVAL_MS

interface GatewayUsage {
  inProgress: number
  reportedAtMs: number
}

/**
 * @param clock - local clock
 * @returns usage without requests in progress
 */
export function createOnlineUsage (clock: Clock): OnlineUsage {
  const gateways = new Map<string, GatewayUsage>()
  let startId: string | undefined
  let polledOnline = 0
  /** Requests in progress by the reports of gateways, at the time of the last poll. */
  let reportedAtPoll = 0

  const reportedInProgress = (): number => {
    const nowMs = clock.nowMs()
    let sum = 0
    for (const [gateway, usage] of gateways) {
      if (nowMs - usage.reportedAtMs > USAGE_TTL_MS) gateways.delete(gateway)
      else sum += usage.inProgress
    }
    return sum
  }

  const resetOnNewStart = (next: string): void => {
    if (next === startId) return
    startId = next
    polledOnline = 0
    reportedAtPoll = 0
    gateways.clear()
  }

  return {
    onUsageReport: (gateway, reportedStartId, inProgress) => {
      // A report about another start does not apply to this one.
      if (reportedStartId !== startId) return
      if (inProgress === 0) gateways.delete(gateway)
      else gateways.set(gateway, { inProgress, reportedAtMs: clock.nowMs() })
    },
    onPoll: (polledStartId, online) => {
      resetOnNewStart(polledStartId)
      polledOnline = online
      reportedAtPoll = reportedInProgress()
    },
    online: () => Math.max(0, polledOnline + reportedInProgress() - reportedAtPoll)
  }
}
