/** Reports to agents how many requests of this gateway are in progress at their engine, so that batch items are preempted at once. */
import type { Clock, Timer } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { PeerMessage } from './peerMessages'
import type { PeerAddress } from './peerSocket'

/** Counts requests in progress by start of an endpoint, and reports the counts. */
export interface UsageReporter {
  onSent: (endpoint: Endpoint) => void
  onEnded: (endpoint: Endpoint) => void
  remove: (endpoint: Endpoint) => void
  close: () => void
}

/** Options of `createUsageReporter`. */
export interface UsageReporterOptions {
  clock: Clock
  send: (message: PeerMessage, to: PeerAddress) => void
  peerPort: number
  /** @returns whether the endpoint has an agent that receives reports */
  hasAgent: (endpoint: Endpoint) => boolean
}

/** Counts above zero are reported this often, in case a datagram was lost; agents discard them after three intervals. */
export const USAGE_REPORT_INTERVAL_MS = 1000

/**
 * @param options - clock and sender
 * @returns a reporter without requests in progress
 */
export function createUsageReporter (options: UsageReporterOptions): UsageReporter {
  const counts = new Map<string, { endpoint: Endpoint, inProgress: number }>()

  const report = (endpoint: Endpoint, inProgress: number): void => {
    if (!options.hasAgent(endpoint)) return
    options.send({ message: 'usage_report', startId: endpoint.startId, inProgress }, { ip: endpoint.address.split(':')[0], port: options.peerPort })
  }

  const change = (endpoint: Endpoint, delta: number): void => {
    const inProgress = Math.max(0, (counts.get(endpoint.startId)?.inProgress ?? 0) + delta)
    if (inProgress === 0) counts.delete(endpoint.startId)
    else counts.set(endpoint.startId, { endpoint, inProgress })
    report(endpoint, inProgress)
  }

  const repeat = (): Timer => options.clock.after(USAGE_REPORT_INTERVAL_MS, () => {
    for (const { endpoint, inProgress } of counts.values()) report(endpoint, inProgress)
    timer = repeat()
  })
  let timer = repeat()

  return {
    onSent: endpoint => change(endpoint, 1),
    onEnded: endpoint => change(endpoint, -1),
    remove: endpoint => { counts.delete(endpoint.startId) },
    close: () => timer.cancel()
  }
}
