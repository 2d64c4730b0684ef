/** Relays calls to the store for peers whose calls the store rejects. */
import { createServer, type Server } from 'node:http'
import { type Clock, createBodyLimits } from 'anvilarch-utils'
import { readBody } from '../requests/readBody'
import type { StoreTransport } from '../store/storeCall'
import type { EventLog } from '../telemetry/events'

/** Header with the timeout of a relayed call. */
export const RELAY_TIMEOUT_HEADER = 'x-anvilarch-timeout-ms'

/** Status if the relay received no response, so that the store may have executed the call. */
export const RELAY_NO_ANSWER_STATUS = 504

/** Status if the call did not reach the store. */
export const RELAY_NOT_DONE_STATUS = 502

/** The store accepts transactions of up to 1 MB and objects of up to 8 MB. */
const MAX_RELAYED_BYTES = 9 * 1024 * 1024

/** Bodies of the largest size that are relayed at the same time. */
const MAX_LARGEST_BODIES = 3

const DEFAULT_TIMEOUT_MS = 1500

/** Request headers that are passed on to the store. */
const FORWARDED_HEADERS = ['content-type', 'if-none-match']

/**
 * @param direct - transport straight to the store; a relay never uses another relay
 * @param log - logger
 * @param clock - local clock
 * @returns the server, which does not listen yet
 */
export function createRelayServer (direct: StoreTransport, log: EventLog, clock: Clock): Server {
  const bodies = createBodyLimits({ clock, limitBytes: MAX_LARGEST_BODIES * MAX_RELAYED_BYTES })
  return createServer((request, response) => {
    const handle = async (): Promise<void> => {
      const timeoutMs = Number(request.headers[RELAY_TIMEOUT_HEADER]) || DEFAULT_TIMEOUT_MS
      const reading = readBody(request, { maxBytes: MAX_RELAYED_BYTES, timeoutMs }, bodies, clock)
      response.once('close', reading.release)
      const read = await reading.result
      if (read.outcome !== 'read') {
        log.warn('relayed call not read', { reason: read.outcome })
        response.destroy()
        return
      }
      const headers = FORWARDED_HEADERS.flatMap(name => typeof request.headers[name] === 'string' ? [name, request.headers[name]] : [])
      const storeResponse = await direct({
        name: 'relayed',
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers,
        body: read.body.length > 0 ? read.body : undefined,
        timeoutMs
      })
      const status = storeResponse.outcome === 'answered' ? storeResponse.status : storeResponse.outcome === 'no_answer' ? RELAY_NO_ANSWER_STATUS : RELAY_NOT_DONE_STATUS
      const body = storeResponse.outcome === 'answered' ? storeResponse.body : Buffer.from(storeResponse.reason)
      response.writeHead(status, { 'Content-Length': body.length })
      response.end(body)
    }
    handle().catch(error => {
      log.warn('relayed call failed', { reason: (error as Error).message })
      response.destroy()
    })
  })
}

/**
 * @param transport - transport to the relay of a peer
 * @returns a transport that maps the status codes of the relay's own failures to outcomes
 */
export function createRelayClient (transport: StoreTransport): StoreTransport {
  return async call => {
    const relayResponse = await transport({ ...call, headers: [...call.headers, RELAY_TIMEOUT_HEADER, String(call.timeoutMs)] })
    if (relayResponse.outcome !== 'answered') return relayResponse
    if (relayResponse.status === RELAY_NO_ANSWER_STATUS) return { outcome: 'no_answer', reason: 'relay received no response from the store' }
    if (relayResponse.status === RELAY_NOT_DONE_STATUS) return { outcome: 'not_done', reason: 'relay did not reach the store' }
    return relayResponse
  }
}
