import type { Socket } from 'node:net'
import { type AgentHarness, type ReadAttempt, readFrames, startAgentHarness, startMessage } from '../__fixtures__/agentHarness'
import { type RawServer, startRawServer } from '../__fixtures__/rawServer'

const SIZED = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
const EXTRA = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra'
const IN_SEQUENCE = 20
const IN_PARALLEL = 8
const ROUNDS = 4

/** How the service responds to the request with this number, and goes on with its connection. */
type Respond = (socket: Socket, number: number) => void

const closingWith = (response: string): Respond => socket => { socket.end(response) }

describe('an agent with a plain service that works, in calm', () => {
  let server: RawServer
  let harness: AgentHarness
  let attempts: number
  /** Requests that reached a connection that the service had already closed. */
  let crossed: number

  const start = async (respond: Respond): Promise<void> => {
    crossed = 0
    server = await startRawServer((socket, number) => {
      if (socket.writableEnded) crossed++
      else respond(socket, number)
    })
    // Probes open connections without a request; the long interval prevents them during the test.
    harness = await startAgentHarness({
      endpoints: [{ name: 'plain', kind: 'plain', url: server.url, service: 'lookup', slots: IN_PARALLEL }],
      // A busy host must not look like a service without a response.
      agent: { endpointSilenceMs: 20_000 },
      options: { probeIntervalMs: 60_000 }
    })
    attempts = 0
  }

  const call = async (idempotent: boolean): Promise<ReadAttempt> => {
    const message = startMessage({ attemptId: `a${attempts++}`, endpoint: 'plain', service: 'lookup', workClass: 'lookup', method: 'GET', path: '/names/a', outputMode: 'raw', idempotent })
    return await readFrames(harness.client.startAttempt(message))
  }

  const expectServed = (read: ReadAttempt): void => {
    expect(read.final).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(read.output.toString()).toBe('ok')
  }

  afterEach(async () => {
    await harness.stop()
    await server.close()
    expect(harness.violations).toEqual([])
  })

  const KINDS: ReadonlyArray<readonly [string, Respond]> = [
    ['closes each connection after its response, unannounced', closingWith(SIZED)],
    ['closes each connection a moment after its response, unannounced', socket => { socket.write(SIZED, () => { setImmediate(() => { socket.end() }) }) }],
    ['announces that it closes each connection', closingWith('HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok')],
    ['announces that it closes each connection, and lets its client close it', socket => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok') }],
    ['announces and closes each third connection', (socket, number) => { number % 3 === 0 ? socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok') : socket.write(SIZED) }],
    ['closes each third connection, unannounced', (socket, number) => { number % 3 === 0 ? socket.end(SIZED) : socket.write(SIZED) }],
    ['responds by HTTP/1.0 with a length', closingWith('HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok')],
    ['responds by HTTP/1.0 without a length', closingWith('HTTP/1.0 200 OK\r\n\r\nok')],
    ['keeps connections by HTTP/1.0', socket => { socket.write('HTTP/1.0 200 OK\r\nconnection: keep-alive\r\ncontent-length: 2\r\n\r\nok') }],
    ['closes chunked responses', closingWith('HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n')],
    ['sends chunks with a trailer', socket => { socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-late\r\n\r\n2\r\nok\r\n0\r\nx-late: 1\r\n\r\n') }],
    ['states Keep-Alive without a length', closingWith('HTTP/1.1 200 OK\r\nconnection: keep-alive\r\nkeep-alive: timeout=5\r\n\r\nok')],
    ['states a Keep-Alive of 0 s', socket => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=0\r\n\r\nok') }],
    ['states Keep-Alive without a timeout', socket => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: max=9\r\n\r\nok') }],
    ['sends an interim response first', socket => { socket.write(`HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n${SIZED}`) }],
    ['sends an empty line after each response', socket => { socket.write(`${SIZED}\r\n`) }],
    ['sends bytes after each response', socket => { socket.write(`${SIZED}more bytes`) }],
    ['sends another response with each response', socket => { socket.write(SIZED + EXTRA) }],
    ['sends another response a moment after each response', socket => { socket.write(SIZED, () => { setImmediate(() => { socket.write(EXTRA) }) }) }]
  ]

  // Guards against calls that are lost or sent twice although nothing is wrong. Only one that crosses the close of its connection is sent again.
  describe.each(KINDS)('that %s', (_name, respond) => {
    it.each([true, false])('serves each call by one request, idempotent: %s', async idempotent => {
      await start(respond)
      for (let count = 0; count < IN_SEQUENCE; count++) expectServed(await call(idempotent))
      for (let count = 0; count < ROUNDS; count++) {
        const reads = await Promise.all(Array.from({ length: IN_PARALLEL }, async () => await call(idempotent)))
        for (const read of reads) expectServed(read)
      }
      expect(server.requests.length - crossed).toBe(IN_SEQUENCE + ROUNDS * IN_PARALLEL)
      if (!idempotent) expect(crossed).toBe(0)
    })
  })
})
