/** Drains a gateway before its shutdown: accepts requests for a short time, then finishes those in progress. */
import { type Clock, sleep } from 'anvilarch-utils'
import type { DrainSchedule } from '../drain/drainSchedule'
import type { EventLog } from '../telemetry/events'
import type { ClientServer } from './clientServer'

/** Longest wait for clients to receive the responses at the end of the drain. */
const FINAL_RESPONSES_MS = 200

/** Interval at which the drain checks for unfinished requests. */
const STOP_POLL_MS = 50

/** Dependencies of `drainClients`. */
export interface DrainParts {
  clients: ClientServer
  log: EventLog
  clock: Clock
  schedule: DrainSchedule
  /** Sends final responses to the requests in progress. */
  endRequests: () => void
}

/**
 * Drains the server for clients.
 *
 * @param parts - server, log, clock and times of the drain
 * @returns a promise that resolves when all requests are finished or the drain is over
 */
export async function drainClients ({ clients, log, clock, schedule, endRequests }: DrainParts): Promise<void> {
  await sleep(clock, schedule.acceptUntilMs - clock.nowMs())
  const finished = new AbortController()
  // A late process may still be accepting connections when the drain ends.
  await Promise.race([clients.finish(), sleep(clock, schedule.endAtMs - clock.nowMs(), finished.signal)])
  finished.abort()
  logUnfinished(clients, log, clock)
  const waitUntil = async (untilMs: number, isDone: () => boolean): Promise<void> => {
    while (!isDone() && clock.nowMs() < untilMs) await sleep(clock, STOP_POLL_MS)
  }
  await waitUntil(schedule.endAtMs, () => clients.unfinishedRequests().length === 0)
  // The event loop runs timers before it reads sockets: the last bytes of a response may have come in time to a late process.
  if (clients.unfinishedRequests().length > 0) await clients.readArrived()
  const unfinishedRequests = clients.unfinishedRequests().length
  endRequests()
  // Connections are reset with the end of the process if their clients still send, which loses responses that were not read.
  await waitUntil(Math.max(schedule.endAtMs, clock.nowMs() + FINAL_RESPONSES_MS), clients.isSettled)
  log.info('gateway stopped', { unfinishedRequests })
}

/** Logs the requests that delay the stop before waiting for them: a process that is killed at the end of its grace period cannot log them. */
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
