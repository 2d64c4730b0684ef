/** Log lines as users' records keep them. */
import { createLogger } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'

/** Number of characters that are kept of each line. */
const KEPT_CHARACTERS = 200

/** A name of 22 characters, as long as those of large deployments. */
const PROCESS_NAME = 'gateway-zone-a-host-03'

/** Id with the length of those of clients. */
export const REQUEST_ID = 'c8e2a155f316215a'

/** Id with the length of those of endpoints and their starts. */
export const START_ID = 'i-5a311075@1796438487117'

/** A log and the lines that were written to it. */
export interface LoggedLines {
  log: EventLog
  /** @returns what is kept of the lines */
  kept: () => string[]
}

/** @returns a log without lines, of the slice that logs requests */
export function createLoggedLines (): LoggedLines {
  const lines: string[] = []
  const logger = createLogger({ level: 'info', process: PROCESS_NAME, write: line => lines.push(line) })
  return { log: logger.child('requests') as EventLog, kept: () => lines.map(line => line.slice(0, KEPT_CHARACTERS)) }
}
