/** Answers a client. */
import type { ServerResponse } from 'node:http'

/** Adds `Connection: close` while the process is leaving. */
export interface ClosingNotice {
  isLeaving: () => boolean
}

/** An answer of this process, not of an endpoint. */
export interface OwnAnswer {
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
export function unauthorizedAnswer (credentialScheme: string): OwnAnswer {
  return { status: 401, code: 'unauthorized', message: 'the request needs a key that an account holds', credentialScheme }
}

/**
 * @param response - of the client's request
 * @param answer - status and reason
 * @param notice - whether the connection is to be closed
 */
export function sendOwnAnswer (response: ServerResponse, answer: OwnAnswer, notice: ClosingNotice): void {
  if (answer.retryAfterMs !== undefined) response.setHeader('Retry-After', String(answer.retryAfterMs / 1000))
  if (answer.credentialScheme !== undefined) response.setHeader('WWW-Authenticate', answer.credentialScheme)
  sendJson(response, answer.status, { error: { code: answer.code, message: answer.message } }, notice)
}

/**
 * @param response - of the client's request
 * @param status - HTTP status
 * @param body - sent as JSON
 * @param notice - whether the connection is to be closed
 */
export function sendJson (response: ServerResponse, status: number, body: unknown, notice: ClosingNotice): void {
  if (response.headersSent || response.destroyed) return
  const bytes = Buffer.from(JSON.stringify(body))
  if (notice.isLeaving()) response.setHeader('Connection', 'close')
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length })
  response.end(bytes)
}
