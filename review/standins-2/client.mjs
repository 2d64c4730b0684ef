// A client on one persistent HTTP/1.1 connection: sends requests one after another and reads whole answers.
import { request as httpRequest, Agent } from 'node:http'
import { HOST } from './configuration.mjs'

/** Opens a client that keeps its connection as long as the server allows it. */
export function createClient ({ ip, port }) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  return {
    /**
     * Sends a request.
     *
     * @returns the status, the text and whether the answer was complete; `reused` tells whether an earlier request has used the connection
     */
    send: ({ method = 'POST', path, id, headers = {}, body = '', onEvent, host = HOST }) => new Promise(resolve => {
      const sentAtMs = performance.now()
      let text = ''
      let status
      let answerHeaders = {}
      const outcome = (complete, error) => ({ id, status, headers: answerHeaders, text, complete, error, reused: sent.reusedSocket, elapsedMs: Math.round(performance.now() - sentAtMs) })
      const sent = httpRequest({ host: ip, port, method, path, agent, headers: { Host: host, 'X-Request-Id': id, 'Content-Length': Buffer.byteLength(body), ...headers } }, response => {
        status = response.statusCode
        answerHeaders = response.headers
        response.setEncoding('utf8')
        response.on('data', chunk => {
          text += chunk
          onEvent?.(text)
        })
        response.on('end', () => resolve(outcome(response.complete)))
        response.on('error', error => resolve(outcome(false, error.code ?? error.message)))
        response.on('aborted', () => resolve(outcome(false, 'aborted')))
      })
      sent.on('error', error => resolve(outcome(false, error.code ?? error.message)))
      sent.end(body)
    }),
    close: () => agent.destroy()
  }
}
