/** Answers a client. */
import type { ServerResponse } from 'node:http'

/** Adds `Connection: close` while the process is leaving. */
export interface DrainState {
  isDraining: () => boolean
}

/** An answer of this process, not of an endpoint. */
export interface GatewayResponse {
  status: number
  code: string
  message: string
  retryAfterMs?: number
  /** Scheme by which a caller is to show its key. */
  credentialScheme?: string
}

/**
 * @param credentialScheme - by which keys are shown
 * @returns the answer to a caller without a good key; it does not say whether there is such a route
 */
export function unauthorizedResponse (credentialScheme: string): GatewayResponse {
  return { status: 401, code: 'unauthorized', message: 'the request needs a key that an account holds', credentialScheme }
}

/**
 * @param response - of the client's request
 * @param answer - status and reason
 * @param drainState - whether the connection is to be closed
 */
export function sendGatewayResponse (response: ServerResponse, answer: GatewayResponse, drainState: DrainState): void {
  if (answer.retryAfterMs !== undefined) response.setHeader('Retry-After', String(answer.retryAfterMs / 1000))
  if (answer.credentialScheme !== undefined) response.setHeader('WWW-Authenticate', answer.credentialScheme)
  sendJson(response, answer.status, { error: { code: answer.code, message: answer.message } }, drainState)
}

/**
 * @param response - of the client's request
 * @param status - HTTP status
 * @param body - sent as JSON
 * @param drainState - whether the connection is to be closed
 */
export function sendJson (response: ServerResponse, status: number, body: unknown, drainState: DrainState): void {
  if (response.headersSent || response.destroyed) return
  const bytes = Buffer.from(JSON.stringify(body))
  if (drainState.isDraining()) response.setHeader('Connection', 'close')
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length })
  response.end(bytes)
}
