/** Waits for conditions with a timeout, and HTTP calls of the fleet. */
import { AnvilarchError, type Clock, sleep } from 'anvilarch-utils'
import { Agent, request } from 'undici'

/** Options of `waitFor`. */
export interface WaitOptions {
  clock: Clock
  timeoutMs: number
  /** Description of the condition, for the error message. */
  what: string
  intervalMs?: number
}

const DEFAULT_INTERVAL_MS = 50
const PROBE_TIMEOUT_MS = 1000
const CALL_TIMEOUT_MS = 5000

/** Opens a new connection for each call: a pooled one may have been silenced by a fault, and the call would be lost on it. */
const dispatcher = new Agent({ pipelining: 0 })

/**
 * @param condition - called repeatedly until it returns a value other than undefined or false
 * @param options - clock and timeout
 * @returns the value
 * @throws AnvilarchError of code `deadline_exceeded` that contains the description of the condition
 */
export async function waitFor<Value> (condition: () => Promise<Value | undefined | false> | Value | undefined | false, options: WaitOptions): Promise<Value> {
  const deadlineMs = options.clock.nowMs() + options.timeoutMs
  for (;;) {
    const value = await condition()
    if (value !== undefined && value !== false) return value
    if (options.clock.nowMs() >= deadlineMs) {
      throw new AnvilarchError(`timed out after ${options.timeoutMs} ms waiting for ${options.what}`, { code: 'deadline_exceeded', step: 'fleet.wait' })
    }
    await sleep(options.clock, options.intervalMs ?? DEFAULT_INTERVAL_MS)
  }
}

/**
 * @param url - address to probe
 * @returns true when it responds with 200
 */
export async function respondsOk (url: string): Promise<boolean> {
  try {
    const response = await request(url, { dispatcher, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) })
    await response.body.dump()
    return response.statusCode === 200
  } catch {
    return false
  }
}

/**
 * @param method - HTTP method
 * @param url - address
 * @param body - sent as JSON
 * @returns the parsed response
 * @throws AnvilarchError when the status of the response is not 200
 */
export async function callJson<ResponseBody> (method: 'GET' | 'PUT' | 'POST', url: string, body?: object): Promise<ResponseBody> {
  const response = await request(url, {
    dispatcher,
    method,
    headers: { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
  })
  const text = await response.body.text()
  if (response.statusCode === 200) return JSON.parse(text) as ResponseBody
  throw new AnvilarchError(`${method} ${url} responded with ${response.statusCode}: ${text}`, { code: 'unavailable', step: 'fleet.call', peer: url })
}
