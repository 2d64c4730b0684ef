/** Handles the requests of a connection one after another. */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** Handles a request. `arrivedAtMs`: local time at which its head was received. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse, arrivedAtMs: number) => void

/**
 * Serializes pipelined requests. Node.js assigns the connection to a response only after the previous response is complete.
 * Until then, a client disconnect is not reported and a cut does not reach the client.
 *
 * @param onRequest - handles a request
 * @returns a handler that passes a request on once its response owns the connection, and drops it if the connection closes first
 */
export function createPipelineHandler (onRequest: RequestHandler): RequestHandler {
  return (request, response, arrivedAtMs) => {
    if (response.socket !== null) {
      onRequest(request, response, arrivedAtMs)
      return
    }
    // Node.js emits no `close` for a response that never owns the connection, so its listeners would wait indefinitely.
    const emitClose = (): void => { response.emit('close') }
    request.once('close', emitClose)
    response.once('socket', () => {
      request.off('close', emitClose)
      // Node.js assigns the connection while it ends the previous response, whose listeners must run first.
      process.nextTick(() => { if (!response.destroyed) onRequest(request, response, arrivedAtMs) })
    })
  }
}
