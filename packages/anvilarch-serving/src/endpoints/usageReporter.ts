/** Tells agents how many requests of this gateway are in progress at the engine beside them, so that batch items give way at once. */
import type { Clock, Timer } from 'anvilarch-utils'
import type { Endpoint } from '../model/types'
import type { PeerMessage } from './peerMessages'
import type { PeerAddress } from './peerSocket'

/** Counts of requests in progress, by start of an endpoint. */
export interface UsageReporter {
  onSent: (endpoint: Endpoint) => void
  onEnded: (endpoint: Endpoint) => void
  remove: (endpoint: Endpoint) => void
  close: () => void
}

/** Options of `createUseNotices`. */
export interface UsageReporterOptions {
  clock: Clock
  send: (message: PeerMessage, to: PeerAddress) => void
  peerPort: number
  /** @returns whether there is an agent to tell */
  hasAgent: (endpoint: Endpoint) => boolean
}

/** Counts above zero are told again this often, in case a datagram was lost; an agent forgets them after three times as long. */
export const USAGE_REPORT_INTERVAL_MS = 1000

/**
 * @param options - clock and sender
 * @returns notices without counts
 */
export function createUsageReporter (options: UsageReporterOptions): UsageReporter {
  const counts = new Map<string, { endpoint: Endpoint, inProgress: number }>()

  const tell = (endpoint: Endpoint, inProgress: number): void => {
    if (!options.hasAgent(endpoint)) return
    options.send({ message: 'usage_report', startId: endpoint.startId, inProgress }, { ip: endpoint.address.split(':')[0], port: options.peerPort })
  }

  const change = (endpoint: Endpoint, by: number): void => {
    const inProgress = Math.max(0, (counts.get(endpoint.startId)?.inProgress ?? 0) + by)
    if (inProgress === 0) counts.delete(endpoint.startId)
    else counts.set(endpoint.startId, { endpoint, inProgress })
    tell(endpoint, inProgress)
  }

  const repeat = (): Timer => options.clock.after(USAGE_REPORT_INTERVAL_MS, () => {
    for (const { endpoint, inProgress } of counts.values()) tell(endpoint, inProgress)
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
