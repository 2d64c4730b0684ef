/** Logs the activity of a process once per second, so that reports over all logs show the load without a line for each request. */
import { type Clock, runInBackground, sleep } from 'anvilarch-utils'
import type { EventFields, EventLog } from './events'

/** Interval between lines of about 250 bytes each. An idle process writes none. */
const LINE_INTERVAL_MS = 1000

/** Events that are logged once per second. */
export type PeriodicEvent = 'traffic' | 'engine use'

/** Options of `startPeriodicLog`. */
export interface PeriodicLogOptions<Name extends PeriodicEvent> {
  clock: Clock
  log: EventLog
  event: Name
  /** @returns the fields for the last second; undefined if there is nothing to log */
  read: () => EventFields[Name] | undefined
  signal: AbortSignal
}

/**
 * Starts to log an event periodically until the signal aborts.
 *
 * @param options - event and source of its fields
 */
export function startPeriodicLog<Name extends PeriodicEvent> (options: PeriodicLogOptions<Name>): void {
  const { clock, log, event, read, signal } = options
  runInBackground(log, `log ${event}`, async () => {
    while (!signal.aborted) {
      await sleep(clock, LINE_INTERVAL_MS, signal)
      const fields = read()
      if (fields !== undefined) log.info(event, fields)
    }
  })
}
