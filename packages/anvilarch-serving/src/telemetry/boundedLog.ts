/** Writes log lines without waiting for their reader. */
import type { Counter } from 'prom-client'
import type { Writable } from 'node:stream'

/** Limit of buffered log lines while the reader stalls. The smallest host has 178 MB of memory. */
const MAX_PENDING_BYTES = 1024 * 1024

/**
 * Creates a log writer that never blocks. If standard output is a pipe whose reader stalls, writing to it would block the process and
 * all its requests. The pipe is therefore made non-blocking, and lines beyond the buffer limit are dropped and counted.
 *
 * @param output - standard output
 * @param dropped - counts the dropped lines
 * @returns a function that writes one line
 */
export function createBoundedLog (output: Writable, dropped: Counter): (line: string) => void {
  const handle = (output as unknown as { _handle?: { setBlocking?: (blocking: boolean) => void } })._handle
  handle?.setBlocking?.(false)
  output.on('error', () => {
    // Ignored: without a reader, errors cannot be reported.
  })
  return line => {
    if (output.writableLength > MAX_PENDING_BYTES) {
      dropped.inc()
      return
    }
    output.write(line + '\n')
  }
}
