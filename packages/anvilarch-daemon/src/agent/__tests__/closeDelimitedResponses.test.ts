import type { Socket } from 'node:net'
import { MAX_BUFFERED_BYTES } from '../../attempts/output/rawCollector'
import { type AgentHarness, type ReadAttempt, readFrames, startAgentHarness, startMessage } from '../__fixtures__/agentHarness'
import { type RawServer, startRawServer } from '../__fixtures__/rawServer'

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n'
const BODY = 'the whole body'
const REPETITIONS = 20

describe('a response of a plain service that ends with its connection', () => {
  let server: RawServer
  let harness: AgentHarness
  let attempts: number

  const start = async (onRequest: (socket: Socket, number: number) => void): Promise<void> => {
    server = await startRawServer(onRequest)
    // Probes open connections without a request; the long interval prevents them during the test.
    harness = await startAgentHarness({
      endpoints: [{ name: 'plain', kind: 'plain', url: server.url, service: 'lookup' }],
      options: { probeIntervalMs: 60_000 }
    })
    attempts = 0
  }

  const call = async (idempotent: boolean): Promise<ReadAttempt> => {
    const message = startMessage({ attemptId: `a${attempts++}`, endpoint: 'plain', service: 'lookup', workClass: 'lookup', method: 'POST', path: '/orders', outputMode: 'raw', idempotent })
    return await readFrames(harness.client.startAttempt(message))
  }

  afterEach(async () => {
    await harness.stop()
    await server.close()
    expect(harness.violations).toEqual([])
  })

  // Guards against work that is lost, or done twice, although the service has done it and has said so.
  it.each([
    ['of HTTP/1.1', true, HEAD],
    ['of HTTP/1.1', false, HEAD],
    ['of HTTP/1.0', true, 'HTTP/1.0 200 OK\r\n\r\n'],
    ['of HTTP/1.0', false, 'HTTP/1.0 200 OK\r\n\r\n'],
    ['with Connection: close', true, 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'],
    ['with Connection: keep-alive', false, 'HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n\r\n'],
    ['with Keep-Alive', true, 'HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\n\r\n'],
    ['after an interim response', false, `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n${HEAD}`],
    ['with the status of a failure', true, 'HTTP/1.1 500 Internal Server Error\r\n\r\n']
  ])('is complete after an orderly close: %s, idempotent: %s', async (_name, idempotent, head) => {
    await start(socket => { socket.end(head + BODY) })
    const read = await call(idempotent)
    expect(read.final).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(read.output.toString()).toBe(BODY)
    expect(server.requests).toHaveLength(1)
  })

  it.each([true, false])('is complete if its bytes and its end arrive one by one, idempotent: %s', async idempotent => {
    await start(socket => {
      const parts = [HEAD.slice(0, 5), HEAD.slice(5), BODY.slice(0, 3), BODY.slice(3)]
      const next = (): void => {
        const part = parts.shift()
        if (part === undefined) socket.end()
        else socket.write(part, () => { setTimeout(next, 2) })
      }
      next()
    })
    const read = await call(idempotent)
    expect(read.final).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(read.output.toString()).toBe(BODY)
    expect(server.requests).toHaveLength(1)
  })

  it.each([true, false])('is complete without a body, idempotent: %s', async idempotent => {
    await start(socket => { socket.end(HEAD) })
    const read = await call(idempotent)
    expect(read.final).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect([read.status, read.output.length, server.requests.length]).toEqual([200, 0, 1])
  })

  // Guards against a truncated response that looks complete, as when a reset arrives together with the last bytes.
  it.each([
    ['in the same turn as the bytes', true, (socket: Socket) => { socket.write(HEAD + BODY); socket.resetAndDestroy() }],
    ['in the same turn as the bytes', false, (socket: Socket) => { socket.write(HEAD + BODY); socket.resetAndDestroy() }],
    ['after the bytes', true, (socket: Socket) => { socket.write(HEAD + BODY, () => { setTimeout(() => { socket.resetAndDestroy() }, 2) }) }],
    ['after the bytes', false, (socket: Socket) => { socket.write(HEAD + BODY, () => { setTimeout(() => { socket.resetAndDestroy() }, 2) }) }]
  ])('is not complete after a reset that is sent %s, idempotent: %s', async (_name, idempotent, respond) => {
    await start(respond)
    for (let count = 0; count < REPETITIONS; count++) {
      const { final } = await call(idempotent)
      expect(final?.outcome).toBe('endpoint_failed')
      expect(final?.ran).not.toBe('not_run')
    }
    if (!idempotent) expect(server.requests).toHaveLength(REPETITIONS)
  })

  /** A response that is reset when its reader has got all of it. */
  const resetLate = (socket: Socket, body: string): void => { socket.write(HEAD + body, () => { setTimeout(() => { socket.resetAndDestroy() }, 20) }) }

  // Guards against a call that fails although it may be repeated, and against an output that holds parts of two responses.
  it('is requested again after a reset, if the call may be repeated', async () => {
    await start((socket, number) => { number === 0 ? resetLate(socket, 'a part') : socket.end(HEAD + BODY) })
    const read = await call(true)
    expect(read.final).toMatchObject({ outcome: 'completed' })
    expect(read.output.toString()).toBe(BODY)
    expect(server.requests).toHaveLength(2)
  })

  it('is requested once, if the call may not be repeated', async () => {
    await start(socket => { resetLate(socket, BODY) })
    expect((await call(false)).final).toMatchObject({ outcome: 'endpoint_failed' })
    expect(server.requests).toHaveLength(1)
  })

  // Guards against an output that holds parts of two responses.
  it('is not requested again if more was forwarded than a gateway buffers', async () => {
    const large = 'x'.repeat(2 * MAX_BUFFERED_BYTES)
    await start(socket => { resetLate(socket, large) })
    const read = await call(true)
    expect(read.final).toMatchObject({ outcome: 'endpoint_failed' })
    expect(read.output.toString()).toBe(large)
    expect(server.requests).toHaveLength(1)
  })

  it('is complete if it is large', async () => {
    const large = 'x'.repeat(5 * MAX_BUFFERED_BYTES)
    await start(socket => { socket.end(HEAD + large) })
    const read = await call(true)
    expect(read.final).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(read.output.toString()).toBe(large)
  })

  // Guards against two responses in one output, when the call was also sent over a second connection.
  it.each([0, 1])('comes from one connection, if the call was sent over two and response %d ends first', async first => {
    const sockets: Socket[] = []
    await start((socket, number) => {
      socket.write(`${HEAD}part ${number}`)
      sockets.push(socket)
      if (sockets.length === 2) sockets[first].end('.')
    })
    const read = await call(true)
    expect(read.final).toMatchObject({ outcome: 'completed' })
    expect(read.output.toString()).toBe(`part ${first}.`)
  })
})
