/** Writes log lines without ever waiting for their reader. */
import type { Counter } from 'prom-client'
import type { Writable } from 'node:stream'

/** Lines that a stalled reader may leave in memory. The smallest host has 178 MB. */
const MAX_PENDING_BYTES = 1024 * 1024

/**
 * Standard output blocks the process when it is a pipe whose reader stalls: requests would stand still with it.
 * The pipe is made non-blocking, and lines beyond the bound are dropped and counted.
 *
 * @param output - standard output
 * @param dropped - counts the lines that are left out
 * @returns a function that writes one line
 */
export function createBoundedLog (output: Writable, dropped: Counter): (line: string) => void {
  const handle = (output as unknown as { _handle?: { setBlocking?: (blocking: boolean) => void } })._handle
  handle?.setBlocking?.(false)
  output.on('error', () => {
    // Without a reader there is nobody to tell.
  })
  return line => {
    if (output.writableLength > MAX_PENDING_BYTES) {
      dropped.inc()
      return
    }
    output.write(line + '\n')
  }
}
