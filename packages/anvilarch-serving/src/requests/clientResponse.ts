/** Sends responses of this gateway to clients. */
import type { ServerResponse } from 'node:http'
import { abortResponse } from 'anvilarch-utils'
import type { DrainState } from '../drain/drainState'

/** A response that this process creates itself rather than an endpoint. */
export interface GatewayResponse {
  status: number
  code: string
  message: string
  retryAfterMs?: number
  /** Authentication scheme for the `WWW-Authenticate` header. */
  credentialScheme?: string
}

/** Response to a call that this gateway cannot complete before it stops. No `Retry-After`: other gateways can serve it at once. */
export const STOPPING_RESPONSE: GatewayResponse = {
  status: 503,
  code: 'stopping',
  message: 'this gateway stops before it could complete the request; it has not run, and another gateway can serve it'
}

/** Response to a request whose handling has failed in this process. It may have run. */
export const INTERNAL_ERROR_RESPONSE: GatewayResponse = {
  status: 502,
  code: 'internal_error',
  message: 'this gateway failed to handle the request, which may have run; its log has the reason'
}

/** Response to a request whose handling has failed in this process before it was sent to an endpoint. */
export const INTERNAL_REFUSAL_RESPONSE: GatewayResponse = {
  status: 503,
  code: 'internal_error',
  message: 'this gateway failed to handle the request, which has not run; its log has the reason'
}

/** Responses whose connection has a further request. */
const followedResponses = new WeakSet<ServerResponse>()

/** Records that the client has sent a further request on the connection of this response, which is still unfinished. */
export function markFollowed (response: ServerResponse): void {
  followedResponses.add(response)
}

/** Reasons for which this process closed the connections of unfinished responses. */
const cutReasons = new WeakMap<ServerResponse, string>()

/**
 * Closes the connection of an unfinished response, and records why, so that the request does not end as one that its client left.
 *
 * @param response - a response that is not complete
 * @param reason - code for log lines
 */
export function cutResponse (response: ServerResponse, reason: string): void {
  cutReasons.set(response, reason)
  abortResponse(response)
}

/** @returns why this process closed the connection of the response; undefined if its client closed it */
export function cutReasonOf (response: ServerResponse): string | undefined {
  return cutReasons.get(response)
}

/**
 * Sets `Connection: close` on a response of a draining process, unless a further request has been read from its connection: that
 * request would be left without a response.
 *
 * @param response - response whose head has not been sent
 * @param drainState - whether the process is draining
 */
export function closeAfterLastResponse (response: ServerResponse, drainState: Pick<DrainState, 'isDraining'>): void {
  if (drainState.isDraining() && !followedResponses.has(response)) response.setHeader('Connection', 'close')
}

/**
 * @param credentialScheme - authentication scheme of keys
 * @returns the response to a caller without a valid key; it does not reveal whether the route exists
 */
export function unauthorizedResponse (credentialScheme: string): GatewayResponse {
  return { status: 401, code: 'unauthorized', message: 'the request needs a key that an account holds', credentialScheme }
}

/**
 * @param response - response object of the client request
 * @param gatewayResponse - status, code and message
 * @param drainState - whether the connection is closed after the response
 */
export function sendGatewayResponse (response: ServerResponse, gatewayResponse: GatewayResponse, drainState: Pick<DrainState, 'isDraining'>): void {
  if (response.headersSent) return
  if (gatewayResponse.retryAfterMs !== undefined) response.setHeader('Retry-After', String(gatewayResponse.retryAfterMs / 1000))
  if (gatewayResponse.credentialScheme !== undefined) response.setHeader('WWW-Authenticate', gatewayResponse.credentialScheme)
  sendJson(response, gatewayResponse.status, { error: { code: gatewayResponse.code, message: gatewayResponse.message } }, drainState)
}

/**
 * @param response - response object of the client request
 * @param status - HTTP status
 * @param body - value that is sent as JSON
 * @param drainState - whether the connection is closed after the response
 */
export function sendJson (response: ServerResponse, status: number, body: unknown, drainState: Pick<DrainState, 'isDraining'>): void {
  sendBytes(response, { status, contentType: 'application/json', bytes: Buffer.from(JSON.stringify(body)) }, drainState)
}

/**
 * Sends a response unless the request already has one, as at the end of a drain.
 *
 * @param response - response object of the client request
 * @param content - status, type and body
 * @param drainState - whether the connection is closed after the response
 */
export function sendBytes (response: ServerResponse, { status, contentType, bytes }: { status: number, contentType: string, bytes: Buffer }, drainState: Pick<DrainState, 'isDraining'>): void {
  if (response.headersSent || response.destroyed) return
  closeAfterLastResponse(response, drainState)
  response.writeHead(status, { 'Content-Type': contentType, 'Content-Length': bytes.length })
  response.end(bytes)
}
