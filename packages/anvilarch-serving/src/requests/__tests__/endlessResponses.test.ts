import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { createPool, type Pool } from '../../endpoints/httpPool'
import { keptBytes } from '../__fixtures__/keptMemory'
import { createByteBudget } from '../byteBudget'
import { type Attempt, type EndpointResponse, startAttempt } from '../runAttempt'

const CHUNK_BYTES = 64 * 1024
const BUDGET_BYTES = 2 * 1024 * 1024

/** More than any limit on a response, with what the sockets hold. */
const MAX_SENT_BYTES = 24 * 1024 * 1024

const SIGNED = 'request-id: r\r\nsignature: s\r\n'

/** An endpoint that sends the start of a response and then one chunk again and again until its connection is closed. */
interface EndlessEndpoint {
  server: Server
  pool: Pool
  sentBytes: number
  /** Connections on which a request has come. */
  openConnections: Set<Socket>
}

let endpoint: EndlessEndpoint

async function startEndpoint (start: string, chunk: string): Promise<void> {
  const openConnections = new Set<Socket>()
  const bytes = Buffer.from(chunk)
  const server = createServer(socket => {
    socket.setNoDelay(true)
    socket.on('close', () => openConnections.delete(socket))
    socket.on('error', () => {})
    const send = (): void => {
      while (!socket.destroyed && socket.write(bytes)) endpoint.sentBytes += bytes.length
    }
    socket.on('drain', send)
    socket.once('data', () => {
      openConnections.add(socket)
      socket.write(start)
      send()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const pool = createPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connections: 4, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  endpoint = { server, pool, sentBytes: 0, openConnections }
}

afterEach(async () => {
  await endpoint.pool.destroy()
  for (const socket of endpoint.openConnections) socket.destroy()
  endpoint.server.close()
})

async function until (condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 2000; tries++) {
    if (condition()) return
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  throw new Error('condition not met within 10 s')
}

interface Outcome {
  attempt: Attempt
  budget: ReturnType<typeof createByteBudget>
  failure?: string
  response?: EndpointResponse
  streamEnded?: boolean
}

function start (): Outcome {
  const budget = createByteBudget(BUDGET_BYTES)
  const outcome: Partial<Outcome> = { budget }
  outcome.attempt = startAttempt({
    pool: endpoint.pool,
    wire: {
      decodeResponse: headers => ({ requestId: headers.get('request-id'), signed: headers.has('signature'), notRun: headers.has('not-run') })
    } as never,
    requestId: 'r',
    request: { method: 'GET', path: '/', headers: [], body: undefined },
    streams: true,
    afterEventId: undefined,
    resumable: true,
    budget,
    onHead: () => {},
    onEvent: () => {},
    onStreamEnd: () => { outcome.streamEnded = true },
    onResponse: response => { outcome.response = response },
    onFailure: (_failure, reason) => { outcome.failure = reason }
  })
  return outcome as Outcome
}

const letters = 'a'.repeat(CHUNK_BYTES)
const sized = `${CHUNK_BYTES.toString(16)}\r\n${letters}\r\n`
const signedChunked = (type: string): string => `HTTP/1.1 200 OK\r\n${SIGNED}content-type: ${type}\r\ntransfer-encoding: chunked\r\n\r\n`

describe('bytes without end from an endpoint', () => {
  // Guards against a gateway that reads, and keeps, whatever an endpoint sends until its memory is used up.
  it.each([
    ['that are no response', 'hello\r\n', letters],
    ['in the value of a header', 'HTTP/1.1 200 OK\r\nx-a: ', letters],
    ['in the name of a header', 'HTTP/1.1 200 OK\r\n', letters],
    ['in many headers', 'HTTP/1.1 200 OK\r\n', 'x-a: b\r\n'.repeat(1000)],
    ['in a body of known type', signedChunked('application/json'), sized],
    ['in a body without a length', `HTTP/1.1 200 OK\r\n${SIGNED}content-type: text/plain\r\n\r\n`, letters],
    ['in the body of a refusal', `HTTP/1.1 503 Full\r\n${SIGNED}not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n`, sized],
    ['in one event', signedChunked('text/event-stream') + '7\r\nid: 1\r\n\r\n', sized],
    ['in trailers', signedChunked('application/json') + '0\r\n', 'x-a: b\r\n'.repeat(1000)]
  ])('%s end the attempt and close the connection', async (_name, head, chunk) => {
    await startEndpoint(head, chunk)
    const outcome = start()
    await until(() => outcome.failure !== undefined)
    await until(() => endpoint.openConnections.size === 0)
    expect(endpoint.sentBytes).toBeLessThan(MAX_SENT_BYTES)
    expect(outcome.budget.takenBytes()).toBe(0)
    expect(outcome.response ?? outcome.streamEnded).toBeUndefined()
  })

  it('after a complete response leave the response whole and close the connection', async () => {
    await startEndpoint(`HTTP/1.1 200 OK\r\n${SIGNED}content-type: text/plain\r\ncontent-length: 2\r\n\r\nok`, letters)
    const outcome = start()
    await until(() => outcome.response !== undefined)
    expect(outcome.response?.body.toString()).toBe('ok')
    await until(() => endpoint.openConnections.size === 0)
    expect(endpoint.sentBytes).toBeLessThan(MAX_SENT_BYTES)
  })

  // The deadline of the request ends these: nothing of them is kept.
  it.each([
    ['in the reason of the status', 'HTTP/1.1 200 ', letters],
    ['in the extension of a chunk', signedChunked('application/json') + '1;', letters],
    ['in informational responses', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1000)]
  ])('%s are not kept, and end with the attempt', async (_name, head, chunk) => {
    await startEndpoint(head, chunk)
    const before = keptBytes()
    const outcome = start()
    await until(() => endpoint.sentBytes > MAX_SENT_BYTES || outcome.failure !== undefined)
    const after = keptBytes()
    outcome.attempt.abort()
    await until(() => endpoint.openConnections.size === 0)
    expect(after - before).toBeLessThan(MAX_SENT_BYTES)
    expect(outcome.response).toBeUndefined()
  })
})

describe('a byte budget', () => {
  it('is shared by all responses that are buffered at the same time', () => {
    const budget = createByteBudget(10)
    expect([budget.tryTake(6), budget.tryTake(5), budget.tryTake(4)]).toEqual([true, false, true])
    budget.release(6)
    expect([budget.takenBytes(), budget.tryTake(6)]).toEqual([4, true])
  })
})
