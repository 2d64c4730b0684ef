/** Passes calls to the store on for peers that the store turns away. */
import { createServer, type Server } from 'node:http'
import type { Clock } from 'anvilarch-utils'
import { readBody } from '../requests/readBody'
import type { StoreTransport } from '../store/transport'
import type { EventLog } from '../telemetry/events'

/** Names the timeout of a call that is passed on. */
export const RELAY_TIMEOUT_HEADER = 'x-anvilarch-timeout-ms'

/** Tells that the relay got no answer, so that the call may have been done. */
export const RELAY_NO_ANSWER_STATUS = 504

/** Tells that nothing has reached the store. */
export const RELAY_NOT_DONE_STATUS = 502

/** The store takes transactions of 1 MB and objects of 8 MB. */
const MAX_RELAYED_BYTES = 9 * 1024 * 1024

const DEFAULT_TIMEOUT_MS = 1500

/** Headers of a call that the store reads. */
const PASSED_HEADERS = ['content-type', 'if-none-match']

/**
 * @param direct - straight to the store; a relay never asks another relay
 * @param log - logger
 * @param clock - local clock
 * @returns the server, not listening yet
 */
export function createRelayServer (direct: StoreTransport, log: EventLog, clock: Clock): Server {
  return createServer((request, response) => {
    const handle = async (): Promise<void> => {
      const timeoutMs = Number(request.headers[RELAY_TIMEOUT_HEADER]) || DEFAULT_TIMEOUT_MS
      const read = await readBody(request, { maxBytes: MAX_RELAYED_BYTES, timeoutMs }, clock)
      if (read.outcome !== 'read') {
        log.warn('relayed call not read', { reason: read.outcome })
        response.destroy()
        return
      }
      const headers = PASSED_HEADERS.flatMap(name => typeof request.headers[name] === 'string' ? [name, request.headers[name]] : [])
      const answer = await direct({
        name: 'relayed',
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers,
        body: read.body.length > 0 ? read.body : undefined,
        timeoutMs
      })
      const status = answer.outcome === 'answered' ? answer.status : answer.outcome === 'no_answer' ? RELAY_NO_ANSWER_STATUS : RELAY_NOT_DONE_STATUS
      const body = answer.outcome === 'answered' ? answer.body : Buffer.from(answer.reason)
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
 * @param transport - straight to a peer's relay
 * @returns a transport that tells the relay's own failures from answers of the store
 */
export function createRelayClient (transport: StoreTransport): StoreTransport {
  return async call => {
    const answer = await transport({ ...call, headers: [...call.headers, RELAY_TIMEOUT_HEADER, String(call.timeoutMs)] })
    if (answer.outcome !== 'answered') return answer
    if (answer.status === RELAY_NO_ANSWER_STATUS) return { outcome: 'no_answer', reason: 'relay got no answer' }
    if (answer.status === RELAY_NOT_DONE_STATUS) return { outcome: 'not_done', reason: 'relay did not reach the store' }
    return answer
  }
}
