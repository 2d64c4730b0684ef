/** HTTP calls of the tests. Each opens a new connection unless a dispatcher is given. */
import { Agent, type Dispatcher, request } from 'undici'

/** A response with its complete body. */
export interface CallResponse {
  status: number
  headers: Record<string, string | string[] | undefined>
  text: string
}

/** @returns a dispatcher that reuses no connection */
function createUnpooledDispatcher (): Dispatcher {
  return new Agent({ pipelining: 0 })
}

/**
 * @param url - address
 * @param init - method, body (sent as JSON unless it is text), headers, dispatcher
 * @returns the response
 */
export async function call (url: string, init: { method?: Dispatcher.HttpMethod, body?: object | string, headers?: Record<string, string>, dispatcher?: Dispatcher } = {}): Promise<CallResponse> {
  const body = init.body === undefined ? null : typeof init.body === 'string' ? init.body : JSON.stringify(init.body)
  const response = await request(url, { method: init.method ?? (body === null ? 'GET' : 'POST'), body, headers: init.headers, dispatcher: init.dispatcher ?? createUnpooledDispatcher() })
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
}

/**
 * @param url - address
 * @param init - as for `call`
 * @returns the parsed JSON body of the response
 */
export async function callForJson (url: string, init: Parameters<typeof call>[1] = {}): Promise<any> {
  return JSON.parse((await call(url, init)).text)
}
