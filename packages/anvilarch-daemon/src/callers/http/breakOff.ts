/** The end of an answer that can't be brought to its end. */
import type { ServerResponse } from 'node:http'

/**
 * Cuts the connection of an answer that had begun. It is reset and not closed: a caller of HTTP/1.0 has no other sign of the
 * end of an answer than the close, and would take the part for the whole.
 *
 * @param response - the answer
 */
export function breakOff (response: ServerResponse): void {
  response.socket?.resetAndDestroy()
  response.destroy()
}
