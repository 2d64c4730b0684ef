/** Aborts an HTTP response that cannot be completed, so that the client does not take it for complete. */
import type { ServerResponse } from 'node:http'

/**
 * @param response - a response
 * @returns whether only the close of the connection marks its end, as for an HTTP/1.0 client without a `Content-Length`
 */
export function isCloseDelimited (response: ServerResponse): boolean {
  return !response.useChunkedEncodingByDefault && !response.hasHeader('content-length')
}

/**
 * Closes the connection of a response that has been started. The client detects by the length or the missing last chunk that the
 * response is incomplete, and keeps what was sent before. A close-delimited response has neither, so its connection is reset.
 *
 * @param response - a response
 */
export function abortResponse (response: ServerResponse): void {
  if (isCloseDelimited(response)) response.socket?.resetAndDestroy()
  response.destroy()
}
