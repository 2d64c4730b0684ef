/** Logs a line a second of what a process does, so that a report over all logs shows the load without a line for each request. */
import { type Clock, runInBackground, sleep } from 'anvilarch-utils'
import type { EventFields, EventLog } from './events'

/** One line is about 250 bytes; an idle process writes none. */
const LINE_INTERVAL_MS = 1000

/** Events that are logged once a second. */
export type PeriodicEvent = 'traffic' | 'engine use'

/** Options of `startPeriodicLog`. */
export interface PeriodicLogOptions<Name extends PeriodicEvent> {
  clock: Clock
  log: EventLog
  event: Name
  /** @returns the fields of the last second; undefined when there is nothing to tell */
  read: () => EventFields[Name] | undefined
  signal: AbortSignal
}

/**
 * @param options - event and where its fields come from
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
