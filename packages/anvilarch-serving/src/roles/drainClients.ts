/** Ends the service of a gateway that leaves: clients still come for a while, and what is in progress is finished. */
import { type Clock, sleep } from 'anvilarch-utils'
import type { EventLog } from '../telemetry/events'
import type { ClientServer } from './clientServer'

/** Clients come for this long after the process has reported that it leaves: two missed questions, one a second, and a margin. */
const DRAIN_ACCEPT_MS = 2600

/** The process is gone this long before it would be killed. */
const STOP_MARGIN_MS = 700

/** How often the end of the requests in progress is looked for. */
const STOP_POLL_MS = 50

/** What a drain works with. */
export interface DrainParts {
  clients: ClientServer
  log: EventLog
  clock: Clock
  /** How long after the stop the process may live. */
  graceMs: number
}

/**
 * @param parts - listener, log and time
 * @returns a promise that resolves when nothing is in progress, or when no more time is left
 */
export async function drainClients ({ clients, log, clock, graceMs }: DrainParts): Promise<void> {
  const untilMs = clock.nowMs() + graceMs - STOP_MARGIN_MS
  await sleep(clock, DRAIN_ACCEPT_MS)
  clients.server.close()
  clients.server.closeIdleConnections()
  logUnfinished(clients, log, clock)
  while (clients.unfinishedRequests().length > 0 && clock.nowMs() < untilMs) await sleep(clock, STOP_POLL_MS)
  log.info('gateway stopped', { unfinishedRequests: clients.unfinishedRequests().length })
}

/** Says for what a stop waits: a process that is killed at the end of its grace cannot say so any more. */
function logUnfinished (clients: ClientServer, log: EventLog, clock: Clock): void {
  const unfinished = clients.unfinishedRequests()
  if (unfinished.length === 0) return
  const oldest = unfinished.reduce((first, other) => other.arrivedAtMs < first.arrivedAtMs ? other : first)
  log.info('stop waits for requests', {
    requestCount: unfinished.length,
    oldestMethod: oldest.method,
    oldestPath: oldest.path,
    oldestAgeMs: Math.round(clock.nowMs() - oldest.arrivedAtMs)
  })
}
