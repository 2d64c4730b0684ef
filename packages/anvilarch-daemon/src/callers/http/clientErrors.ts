/** Responds with a typed error to requests that are invalid HTTP or incomplete. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { AnvilarchError, type Clock } from 'anvilarch-utils'
import { errorBody, sendError } from './errorResponse'

interface ClientError {
  status: number
  message: string
}

/** Responses by error code of the HTTP parser. */
const CLIENT_ERRORS: Record<string, ClientError> = {
  HPE_HEADER_OVERFLOW: { status: 431, message: 'the headers are larger than this gateway takes' },
  HPE_INVALID_EOF_STATE: { status: 400, message: 'the request was cut off before its end' },
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, message: 'the request did not arrive in time' }
}

const OTHER_CLIENT_ERROR: ClientError = { status: 400, message: 'the request is not valid HTTP' }

/** A request that could not be parsed has no id. */
const NO_REQUEST_ID = ''

/** Time for the client to receive the response and close its side. */
const LINGER_MS = 500

/**
 * @param server - server whose client errors are handled
 * @param clock - clock for the end of rejected connections
 */
export function respondToClientErrors (server: Server, clock: Clock): void {
  const responses = new WeakMap<Duplex, ServerResponse>()
  const closing = new WeakSet<Duplex>()

  /** A client that does not close its side would keep the connection open. */
  const endConnection = (socket: Duplex, bytes = ''): void => {
    socket.end(bytes)
    const timer = clock.after(LINGER_MS, () => { socket.destroy() })
    socket.once('close', () => { timer.cancel() })
  }

  /** The responses to complete requests are finished before the connection is closed. */
  const closeAfter = (socket: Duplex, response: ServerResponse): void => {
    if (closing.has(socket)) return
    closing.add(socket)
    response.once('close', () => {
      const next = responses.get(socket)
      closing.delete(socket)
      if (next !== undefined && next !== response && !next.writableEnded) closeAfter(socket, next)
      else endConnection(socket)
    })
  }

  server.on('request', (request: IncomingMessage, response: ServerResponse) => { responses.set(request.socket, response) })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const response = responses.get(socket)
    if (response?.req.complete === true && !response.writableEnded) closeAfter(socket, response)
    else respond(socket, response, CLIENT_ERRORS[error.code ?? ''] ?? OTHER_CLIENT_ERROR, endConnection)
  })
}

function respond (socket: Duplex, response: ServerResponse | undefined, clientError: ClientError, endConnection: (socket: Duplex, bytes: string) => void): void {
  const error = new AnvilarchError(clientError.message, { code: 'bad_request', step: 'callers.read_request' })
  const open = response !== undefined && !response.writableEnded
  if (open && response.headersSent) {
    socket.destroy()
  } else if (open) {
    response.setHeader('connection', 'close')
    sendError(response, error, String(response.getHeader('x-request-id') ?? NO_REQUEST_ID))
  } else {
    endConnection(socket, rawResponse(clientError.status, JSON.stringify(errorBody(error, NO_REQUEST_ID))))
  }
}

function rawResponse (status: number, body: string): string {
  return [
    `HTTP/1.1 ${status} Bad Request`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body
  ].join('\r\n')
}
