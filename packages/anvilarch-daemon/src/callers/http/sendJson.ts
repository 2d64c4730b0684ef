/** JSON responses. */
import type { ServerResponse } from 'node:http'

/**
 * @param response - the response; its head must not have been sent
 * @param status - HTTP status
 * @param body - value to send as JSON
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length })
  response.end(bytes)
}
