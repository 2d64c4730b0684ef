/** Responses of the operator interface. */
import type { ServerResponse } from 'node:http'

/**
 * Sends JSON without the type names of protocol messages, and with their 64-bit integers as plain numbers.
 *
 * @param response - the response
 * @param status - HTTP status
 * @param body - value to send as JSON
 */
export function sendView (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body, (key, value: unknown) => {
    if (key === '$typeName' || key === '$unknown') return undefined
    return typeof value === 'bigint' ? Number(value) : value
  })
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(text)
}
