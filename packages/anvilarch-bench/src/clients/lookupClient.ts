/** Client of plain services that checks that the response belongs to the request. */
import { type RequestResult, interruptedResult, emptyResult, errorResult } from './requestResult'
import type { ClientOptions } from './chatClient'

/** One request to a plain service. */
export interface LookupRequest {
  requestId: string
  /** Path at the gateway, or at the plain endpoint for a direct request. */
  path: string
  /** Path that the endpoint repeats in its response. */
  endpointPath: string
  headers?: Record<string, string>
}

/** Response of the plain stand-in. */
interface LookupResponse {
  path?: string
  requestId?: string
}

/**
 * @param origin - callers' address of a gateway, or the address of a plain endpoint
 * @param request - what to send
 * @param options - clock and connections
 * @returns how the request ended; never rejects
 */
export async function sendLookup (origin: string, request: LookupRequest, options: Omit<ClientOptions, 'expectedText'>): Promise<RequestResult> {
  const { clock } = options
  try {
    const response = await options.dispatcher.request({
      origin,
      path: request.path,
      method: 'GET',
      headers: { 'x-request-id': request.requestId, ...request.headers },
      signal: options.signal
    })
    const text = await response.body.text()
    const endedAtMs = clock.nowMs()
    if (response.statusCode >= 400) return errorResult(response.statusCode, response.headers['retry-after'], text, endedAtMs)
    return { ...emptyResult(endedAtMs), status: response.statusCode, ...checkResponse(text, request) }
  } catch (error) {
    return interruptedResult(error, clock.nowMs())
  }
}

function checkResponse (text: string, request: LookupRequest): Pick<RequestResult, 'outcome' | 'detail'> {
  let response: LookupResponse
  try {
    response = JSON.parse(text) as LookupResponse
  } catch {
    return { outcome: 'incomplete', detail: 'the response is not valid JSON' }
  }
  const matches = response.requestId === request.requestId && response.path === request.endpointPath
  return matches ? { outcome: 'completed', detail: '' } : { outcome: 'wrong', detail: text.slice(0, 200) }
}
