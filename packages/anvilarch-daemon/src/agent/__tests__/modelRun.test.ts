import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createSystemClock } from 'anvilarch-utils'
import { createEndpointConnections, type EndpointConnections } from '../endpoints/connections'
import { startModelRun } from '../endpoints/modelRun'
import type { RunEnd } from '../endpoints/types'

type Mode = 'stream' | 'whole'
type Answer = (response: ServerResponse, request: IncomingMessage) => void

const DONE = 'data: [DONE]\n\n'
const ERROR = 'data: {"error":{"message":"out of memory","code":500}}\n\n'
const NAMED_ERROR = 'event: error\ndata: {"message":"out of memory"}\n\n'
const chunk = (delta: object, finish: string | null = null, index = 0): string => `data: ${JSON.stringify({ id: 'c', choices: [{ index, delta, finish_reason: finish }] })}\n\n`
const word = (content: string, index = 0): string => chunk({ content }, null, index)
const STOP = chunk({}, 'stop')

const events = (...parts: string[]): Answer => response => {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  response.end(parts.join(''))
}
const cutEvents = (...parts: string[]): Answer => response => {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  response.write(parts.join(''), () => { response.destroy() })
}
const answer = (status: number, body: string, type = 'application/json'): Answer => response => {
  response.writeHead(status, { 'content-type': type })
  response.end(body)
}
const UNKNOWN = answer(404, '{}')

let server: Server
let connections: EndpointConnections
afterEach(async () => {
  await connections.close()
  server.closeAllConnections()
  await new Promise(resolve => { server.close(resolve) })
})

/** Runs a request at an engine that answers its connections one after the other, the last one also to all that follow. */
async function run (mode: Mode, ...answers: Answer[]): Promise<{ end: RunEnd, status: number, output: string }> {
  let calls = 0
  server = createServer((request, response) => {
    request.resume()
    request.on('end', () => { answers[Math.min(calls++, answers.length - 1)](response, request) })
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
  // Guards against this: part of a text counts as the whole answer since its engine closed the stream in good order.
  it.each(MODES)('does not take a stream without its end mark for whole, as a %s', async mode => {
    const { end, output } = await run(mode, events(word('one '), word('two')), UNKNOWN, events(word('three')), UNKNOWN)
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(output).not.toContain('[DONE]')
  })

  it.each<[string, Answer]>([
    ['a whole answer', answer(200, '{"choices":[]}')],
    ['another success', answer(202, '{}')],
    ['a failure', answer(500, '{}')]
  ])('does not take %s for the rest of a stream', async (_what, other) => {
    const { end, output } = await run('stream', cutEvents(word('one ')), other)
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(output).toBe(word('one '))
  })

  // Guards against this: a text whose engine failed in the middle is stored as a completed item.
  it.each(MODES.flatMap(mode => [[mode, 'an event', ERROR], [mode, 'a named event', NAMED_ERROR]] as const))('fails when the engine tells an error within its stream, as a %s, by %s', async (mode, _how, error) => {
    const { end, output } = await run(mode, events(word('one '), error, STOP, DONE))
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran', detail: expect.stringContaining('out of memory') })
    expect(output).not.toContain('[DONE]')
  })

  // Guards against this: a text that was given up by its engine counts as the whole answer.
  it.each(MODES)('fails when the engine ends its stream without a reason, as a %s', async mode => {
    const { end, output } = await run(mode, events(word('one '), DONE))
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(output).not.toContain('[DONE]')
  })

  // Guards against this: an answer that has ended goes on with the text of another run, or ends twice.
  it.each<[string, Answer[]]>([
    ['the engine sends the end again', [events(STOP, DONE)]],
    ['the engine begins anew', [UNKNOWN, events(word('three'), STOP, DONE)]]
  ])('ends once when its connection breaks before the end mark and %s', async (_what, more) => {
    const { end, output } = await run('stream', cutEvents(word('one '), word('two'), STOP), ...more)
    expect(end).toMatchObject({ outcome: 'completed', outputTokens: 2 })
    expect(output).toBe([word('one '), word('two'), STOP, DONE].join(''))
  })

  // Guards against this: the texts of several choices, or half a tool call, are given to a new run as one text.
  it.each<[string, string[]]>([
    ['several choices', [word('one '), word('eins ', 1)]],
    ['a tool call', [chunk({ tool_calls: [{ index: 0, id: 't', function: { name: 'look', arguments: '{"a' } }] })]]
  ])('fails when the engine forgot an answer with %s', async (_what, parts) => {
    const { end, output } = await run('stream', cutEvents(...parts), UNKNOWN, events(word('two'), STOP, DONE))
    expect(end).toMatchObject({ outcome: 'endpoint_failed', ran: 'ran' })
    expect(output).toBe(parts.join(''))
  })

  // Guards against this: half a body counts as the whole one, since the end of its connection is its only frame.
  it.each(MODES.flatMap(mode => [[mode, 200, '{"choices":[{"mess', 'endpoint_failed'], [mode, 200, '{"choices":[]}', 'completed'], [mode, 502, 'too busy', 'completed']] as const))(
    'tells by its JSON whether a body without a length is whole, as a %s: %d %s', async (mode, status, body, outcome) => {
      const { end, output } = await run(mode, response => { response.socket?.end(`HTTP/1.1 ${status} X\r\ncontent-type: application/json\r\n\r\n${body}`) })
      expect(end).toMatchObject({ outcome, ran: 'ran' })
      expect(output).toBe(body)
    })
})
