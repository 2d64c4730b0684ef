/** JSON bodies of the platform's services. */
import { AnvilarchError } from 'anvilarch-utils'
import type { HttpResponse } from './httpCaller'

/** Headers of calls with a JSON body. */
export const JSON_HEADERS = { 'content-type': 'application/json' }

const decoder = new TextDecoder()

/**
 * @param response - a response with a JSON body
 * @param step - step to name in an error
 * @returns the parsed body
 * @throws AnvilarchError with code `platform_unavailable` if the body is not valid JSON
 */
export function parseJsonResponse<Body> (response: HttpResponse, step: string): Body {
  try {
    return JSON.parse(decoder.decode(response.body)) as Body
  } catch (error) {
    throw new AnvilarchError('The platform answered with something that is not JSON.', {
      code: 'platform_unavailable', step, ran: 'unknown', cause: error
    })
  }
}
