/** Closes the connection of a request that was rejected before its body was read. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from 'anvilarch-utils'

/** Limits of the time and size of the body that is read and discarded after the response. */
const LINGER_MS = 500
const MAX_LINGER_BYTES = 4 * 1024 * 1024

/**
 * A connection that is closed with unread bytes is reset, so a caller that is still writing would not receive the error response.
 * So the rest of the body is read and discarded within limits first.
 *
 * @param request - a request with an unread body
 * @param response - its response, which has been ended
 * @param clock - clock for the time limit
 */
export function lingerThenClose (request: IncomingMessage, response: ServerResponse, clock: Clock): void {
  let discardedBytes = 0
  const close = (): void => {
    timer.cancel()
    request.socket.destroy()
  }
  const timer = clock.after(LINGER_MS, close)
  request.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length
    if (discardedBytes > MAX_LINGER_BYTES && response.writableFinished) close()
  })
  request.once('end', () => { timer.cancel() })
  request.once('close', () => { timer.cancel() })
  request.on('error', () => {})
  request.resume()
}
