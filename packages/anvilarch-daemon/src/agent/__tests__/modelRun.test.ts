import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { createSystemClock } from 'anvilarch-utils'
import { createEndpointConnections, type EndpointConnections } from '../endpoints/connections'
import { startModelRun } from '../endpoints/modelRun'
import type { RunEnd } from '../endpoints/types'

type Mode = 'stream' | 'whole'
type EngineResponse = (response: ServerResponse, request: IncomingMessage) => void

const DONE = 'data: [DONE]\n\n'
const ERROR = 'data: {"error":{"message":"out of memory","code":500}}\n\n'
const NAMED_ERROR = 'event: error\ndata: {"message":"out of memory"}\n\n'
const chunk = (delta: object, finish: string | null = null, index = 0): string => `data: ${JSON.stringify({ id: 'c', choices: [{ index, delta, finish_reason: finish }] })}\n\n`
const word = (content: string, index = 0): string => chunk({ content }, null, index)
const STOP = chunk({}, 'stop')

const events = (...parts: string[]): EngineResponse => response => {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  response.end(parts.join(''))
}
const cutEvents = (...parts: string[]): EngineResponse => response => {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  response.write(parts.join(''), () => { response.destroy() })
}
const respondWith = (status: number, body: string, type = 'application/json'): EngineResponse => response => {
  response.writeHead(status, { 'content-type': type })
  response.end(body)
}
const UNKNOWN = respondWith(404, '{}')

let server: Server
let connections: EndpointConnections
afterEach(async () => {
  await connections.close()
  server.closeAllConnections()
  await new Promise(resolve => { server.close(resolve) })
})

/** Runs a request at an engine that gives the responses in order, and repeats the last one. */
async function run (mode: Mode, ...responses: EngineResponse[]): Promise<{ end: RunEnd, status: number, output: string }> {
  let calls = 0
  server = createServer((request, response) => {
    request.resume()
    request.on('end', () => { responses[Math.min(calls++, responses.length - 1)](response, request) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  connections = createEndpointConnections(url)
  let status = 0
  let output = ''
  const adapter = { url, clock: createSystemClock(), idleTimeoutMs: 5_000, onUnreachable: () => {}, checkProcess: async () => 'alive' as const, incarnation: () => '1' }
  const call = { method: 'POST', path: '/v1/chat/completions', headers: {}, body: Buffer.from('{"model":"small","messages":[]}') }
  const modelRun = startModelRun({ ...adapter, connections, basePath: '' }, { requestId: 'r', attemptId: 'a', workClass: 'online', idempotent: true, outputMode: mode, call }, {
    onHead: given => { status = given },
    onOutput: data => {
      output += Buffer.from(data).toString()
      return true
    },
    onToken: () => {},
    onResumed: () => {}
  })
  return { end: await modelRun.done, status, output }
}

const MODES: Mode[] = ['stream', 'whole']

describe('startModelRun', () => {
  // Guards against a truncated text being taken for complete because the engine closed the stream without an error.
  it.each(MODES)('does not accept a stream without its end mark as complete, in mode %s', async mode => {
    const { end, output } = await run(mode, events(word('one '), word('two')), UNKNOWN, events(word('three')), UNKNOWN)
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(output).not.toContain('[DONE]')
  })

  it.each<[string, EngineResponse]>([
    ['a complete response', respondWith(200, '{"choices":[]}')],
    ['another success status', respondWith(202, '{}')],
    ['an error response', respondWith(500, '{}')]
  ])('does not accept %s as the rest of a stream', async (_what, other) => {
    const { end, output } = await run('stream', cutEvents(word('one ')), other)
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(output).toBe(word('one '))
  })

  // Guards against storing a text as a completed item although the engine failed in the middle.
  it.each(MODES.flatMap(mode => [[mode, 'an event', ERROR], [mode, 'a named event', NAMED_ERROR]] as const))('fails when the engine reports an error within its stream, in mode %s, by %s', async (mode, _how, error) => {
    const { end, output } = await run(mode, events(word('one '), error, STOP, DONE))
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran', detail: expect.stringContaining('out of memory') })
    expect(output).not.toContain('[DONE]')
  })

  // Guards against a text that the engine has abandoned being taken for complete.
  it.each(MODES)('fails when the engine ends its stream without a finish reason, in mode %s', async mode => {
    const { end, output } = await run(mode, events(word('one '), DONE))
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(output).not.toContain('[DONE]')
  })

  // Guards against a finished response that continues with the text of another run, or ends twice.
  it.each<[string, EngineResponse[]]>([
    ['the engine sends the end again', [events(STOP, DONE)]],
    ['the engine starts a new generation', [UNKNOWN, events(word('three'), STOP, DONE)]]
  ])('ends once when its connection breaks before the end mark and %s', async (_what, more) => {
    const { end, output } = await run('stream', cutEvents(word('one '), word('two'), STOP), ...more)
    expect(end).toMatchObject({ outcome: 'completed', outputTokens: 2 })
    expect(output).toBe([word('one '), word('two'), STOP, DONE].join(''))
  })

  // Guards against passing the texts of several choices, or a partial tool call, to a new run as one text.
  it.each<[string, string[]]>([
    ['several choices', [word('one '), word('eins ', 1)]],
    ['a tool call', [chunk({ tool_calls: [{ index: 0, id: 't', function: { name: 'look', arguments: '{"a' } }] })]]
  ])('fails when the engine has discarded a stream with %s', async (_what, parts) => {
    const { end, output } = await run('stream', cutEvents(...parts), UNKNOWN, events(word('two'), STOP, DONE))
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(output).toBe(parts.join(''))
  })

  it.each<[string, (socket: Socket | null, bytes: string) => void]>([
    ['closes its connection', (socket, bytes) => { socket?.end(bytes) }],
    ['resets its connection', (socket, bytes) => { socket?.write(bytes, () => { setTimeout(() => { socket.resetAndDestroy() }, 2) }) }]
  ])('completes a stream without a length at its end mark when the engine %s', async (_how, end) => {
    const text = [word('one '), word('two'), STOP, DONE].join('')
    const result = await run('stream', response => { end(response.socket, `HTTP/1.0 200 OK\r\ncontent-type: text/event-stream\r\n\r\n${text}`) })
    expect(result.end).toMatchObject({ outcome: 'completed', outputTokens: 2 })
    expect(result.output).toBe(text)
  })

  // Guards against a truncated body being taken for complete, since only the end of its connection delimits it.
  it.each(MODES.flatMap(mode => [[mode, 200, '{"choices":[{"mess', 'endpoint_failed'], [mode, 200, '{"choices":[]}', 'completed'], [mode, 502, 'too busy', 'completed']] as const))(
    'detects by its JSON whether a body without a length is complete, in mode %s: %d %s', async (mode, status, body, outcome) => {
      const { end, output } = await run(mode, response => { response.socket?.end(`HTTP/1.1 ${status} X\r\ncontent-type: application/json\r\n\r\n${body}`) })
      expect(end).toMatchObject({ outcome, ran: 'ran' })
      expect(output).toBe(body)
    })

  // Guards against a complete body that is lost because only JSON was taken for complete.
  it.each(MODES)('completes a body without a length that is not JSON when the engine closes its connection in order, in mode %s', async mode => {
    const { end, output } = await run(mode, response => { response.socket?.end('HTTP/1.1 200 X\r\ncontent-type: text/plain\r\n\r\nall of it') })
    expect(end).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(output).toBe('all of it')
  })

  // Guards against a truncated body that parses, such as the first digits of a number, or text before the reset.
  it.each(MODES.flatMap(mode => [[mode, 'application/json', '12'], [mode, 'application/json', '{"choices":[]}'], [mode, 'text/plain', 'a part']] as const))(
    'does not complete a body without a length when its connection breaks, in mode %s: %s %s', async (mode, type, body) => {
      const bytes = `HTTP/1.1 200 X\r\ncontent-type: ${type}\r\n\r\n${body}`
      const { end } = await run(mode, response => { response.socket?.write(bytes, () => { setTimeout(() => { response.socket?.resetAndDestroy() }, 2) }) })
      expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    })

  // Guards against an error that is lost, since a server that rejects a request before it has read all of it resets its connection.
  it.each(MODES)('keeps an error response without a length whose connection breaks, in mode %s', async mode => {
    const bytes = 'HTTP/1.1 413 X\r\ncontent-type: application/json\r\n\r\n{"error":'
    const { end, status } = await run(mode, response => { response.socket?.write(bytes, () => { setTimeout(() => { response.socket?.resetAndDestroy() }, 2) }) })
    expect([end.outcome, status]).toEqual(['completed', 413])
  })
})
