/** Keeps the decisions about a request until it is known whether they are worth writing. */
import type { Clock } from 'anvilarch-utils'
import type { EventFields, EventLog } from '../telemetry/events'

/** Events that are written only of requests that go wrong. */
export type TrailEvent = 'endpoint chosen' | 'answer begun' | 'own pause noticed'

/** The decisions about one request. */
export interface RequestLog {
  /** Keeps an event; one of a request that has gone wrong is written at once. */
  note: <Name extends TrailEvent>(name: Name, fields: EventFields[Name]) => void
  /** The request has gone wrong: writes what has been kept, and everything from now on. */
  flush: () => void
}

/** More than the sends that one request may have; an older event gives way to a newer one. */
export const MAX_BUFFERED_EVENTS = 16

/**
 * Nearly all requests go well and have one line. Of the others, an engineer wants each decision with what it was based on.
 *
 * @param log - where the events go
 * @returns a trail without events
 */
export function createRequestLog (log: EventLog): RequestLog {
  const kept: Array<() => void> = []
  let revealed = false
  return {
    note: (name, fields) => {
      const write = (): void => log.info(name, fields)
      if (revealed) {
        write()
        return
      }
      if (kept.length === MAX_BUFFERED_EVENTS) kept.shift()
      kept.push(write)
    },
    flush: () => {
      revealed = true
      for (const write of kept.splice(0)) write()
    }
  }
}

/**
 * @param clock - local clock
 * @param sinceMs - local time
 * @returns whole milliseconds since then
 */
export function elapsedMs (clock: Clock, sinceMs: number): number {
  return Math.round(clock.nowMs() - sinceMs)
}
