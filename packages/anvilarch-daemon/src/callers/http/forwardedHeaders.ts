/** Selects the headers that are forwarded from callers to endpoints and back. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Headers } from '../../attempts/types'

/** Hop-by-hop headers, and headers that the daemons set themselves. */
const NOT_FORWARDED = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'host', 'content-length', 'accept-encoding',
  'authorization', 'idempotency-key', 'x-request-id', 'x-attempt-id', 'x-deadline-ms', 'x-work-class'
])

/**
 * @param headers - headers from the caller
 * @param requestId - id of the request
 * @returns headers for the endpoint
 */
export function toEndpointHeaders (headers: IncomingHttpHeaders, requestId: string): Headers {
  const forwarded: Headers = { 'x-request-id': requestId }
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_FORWARDED.has(name)) continue
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return forwarded
}

/**
 * @param headers - headers from the endpoint
 * @returns headers for the caller
 */
export function toCallerHeaders (headers: Headers): Headers {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !NOT_FORWARDED.has(name)))
}
