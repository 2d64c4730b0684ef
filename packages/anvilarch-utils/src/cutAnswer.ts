/** Ends an HTTP answer that can't be brought to its end, so that it does not look complete. */
import type { ServerResponse } from 'node:http'

/**
 * @param response - the answer
 * @returns whether its caller has no other sign of its end than the close, as a caller of HTTP/1.0 without a length
 */
export function endsWithConnection (response: ServerResponse): boolean {
  return !response.useChunkedEncodingByDefault && !response.hasHeader('content-length')
}

/**
 * Cuts the connection of an answer that has begun. A caller sees by the length or the missing last chunk that the answer is not
 * whole, and keeps what was sent before; only where neither is there, the connection is reset.
 *
 * @param response - the answer
 */
export function cutAnswer (response: ServerResponse): void {
  if (endsWithConnection(response)) response.socket?.resetAndDestroy()
  response.destroy()
}
