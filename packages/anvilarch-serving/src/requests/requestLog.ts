/** Buffers log events about a request until it is known whether the request fails. */
import type { Clock } from 'anvilarch-utils'
import type { EventFields, EventLog } from '../telemetry/events'

/** Events that are logged only for requests that fail, are refused or miss an objective. */
export type BufferedEvent = 'endpoint chosen' | 'answer begun' | 'stream end to be confirmed' | 'endpoint silent' | 'own pause noticed'

/** Log events of one request. */
export interface RequestLog {
  /** Buffers an event, or writes it at once after the first `flush`. */
  note: <Name extends BufferedEvent>(name: Name, fields: EventFields[Name]) => void
  /** Writes the buffered events. Later events are written at once. */
  flush: () => void
}

/** Events buffered for each request. When the buffer is full, the oldest event is dropped. Exceeds the number of sends that one request may have. */
export const MAX_BUFFERED_EVENTS = 16

/**
 * Nearly all requests succeed and get at most one log line. For the others, engineers need each decision and its inputs.
 *
 * @param log - receives the events
 * @returns a request log without events
 */
export function createRequestLog (log: EventLog): RequestLog {
  const buffered: Array<() => void> = []
  let flushed = false
  return {
    note: (name, fields) => {
      const write = (): void => log.info(name, fields)
      if (flushed) {
        write()
        return
      }
      if (buffered.length === MAX_BUFFERED_EVENTS) buffered.shift()
      buffered.push(write)
    },
    flush: () => {
      flushed = true
      for (const write of buffered.splice(0)) write()
    }
  }
}

/**
 * @param clock - local clock
 * @param sinceMs - local time of the start
 * @returns milliseconds since then, rounded to an integer
 */
export function elapsedMs (clock: Clock, sinceMs: number): number {
  return Math.round(clock.nowMs() - sinceMs)
}
