import { createPool, type Pool } from '../../endpoints/httpPool'
import { type EndlessEndpoint, type EndlessEndpointOptions, startEndlessEndpoint } from '../__fixtures__/endlessEndpoint'
import { createMemoryMeter, HEAP_LIMIT_BYTES, type MemoryMeter } from '../__fixtures__/keptMemory'
import { type ByteBudget, createByteBudget } from '../byteBudget'
import { type Attempt, startAttempt } from '../runAttempt'

const MEBIBYTE = 1024 * 1024

/** What one faulty response may take of the heap that all requests of a daemon share. */
const MAX_KEPT_BYTES = HEAP_LIMIT_BYTES / 4

/** Bytes after which an attempt that still reads is aborted. */
const MAX_READ_BYTES = 20 * MEBIBYTE

const MEASURE_EVERY_BYTES = 3 * MEBIBYTE

const SIGNED = 'HTTP/1.1 200 OK\r\nrequest-id: r\r\nsignature: s\r\n'
const CHUNKED_EVENTS = `${SIGNED}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`

let endpoint: EndlessEndpoint
let pool: Pool

afterEach(async () => {
  await pool.destroy()
  endpoint.close()
})

async function startEndpoint (options: EndlessEndpointOptions, connections: number): Promise<void> {
  endpoint = await startEndlessEndpoint(options)
  pool = createPool(`http://${endpoint.address}`, { connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
}

interface RunningAttempt {
  attempt: Attempt
  failure: string | undefined
}

function start (budget: ByteBudget): RunningAttempt {
  const running: Partial<RunningAttempt> = { failure: undefined }
  running.attempt = startAttempt({
    pool,
    wire: {
      decodeResponse: (headers: ReadonlyMap<string, string>) => ({ requestId: headers.get('request-id'), signed: headers.has('signature'), notRun: headers.has('not-run') })
    } as never,
    requestId: 'r',
    request: { method: 'GET', path: '/', headers: [], body: undefined },
    streams: true,
    afterEventId: undefined,
    resumable: true,
    budget,
    onHead: () => {},
    onEvent: () => {},
    onStreamEnd: () => { running.failure = 'complete' },
    onResponse: () => { running.failure = 'complete' },
    onFailure: (_failure, reason) => { running.failure = reason }
  })
  return running as RunningAttempt
}

/** Reads until each attempt has failed or far more has been read than any limit. */
async function readAll (budget: ByteBudget, count: number): Promise<void> {
  const attempts = Array.from({ length: count }, () => start(budget))
  while (attempts.some(({ failure }) => failure === undefined) && endpoint.sentBytes() < MAX_READ_BYTES * count) await new Promise(resolve => setTimeout(resolve, 5))
  for (const { attempt } of attempts) attempt.abort()
}

function meteredOptions (start: string, chunk: EndlessEndpointOptions['chunk']): { options: EndlessEndpointOptions, meter: MemoryMeter } {
  const meter = createMemoryMeter(MEASURE_EVERY_BYTES)
  return { meter, options: { start, chunk, onSent: () => meter.onProgress(endpoint.sentBytes()) } }
}

const byteInChunk = '1\r\na\r\n'.repeat(10_000)
const letters = 'a'.repeat(64 * 1024)

describe('the memory kept for one response', () => {
  // Guards against limits that count the bytes of a body and not what holds them, as with chunks of one byte.
  it.each([
    ['that comes in chunks of one byte', `${SIGNED}content-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n`, byteInChunk],
    ['that is a refusal and comes in chunks of one byte', 'HTTP/1.1 503 Full\r\nnot-run: 1\r\ntransfer-encoding: chunked\r\n\r\n', byteInChunk],
    ['without a length', `${SIGNED}content-type: text/plain\r\n\r\n`, letters],
    ['whose event does not end', CHUNKED_EVENTS, `${(64 * 1024).toString(16)}\r\n${letters}\r\n`],
    ['whose event does not end and has many lines', CHUNKED_EVENTS, `${(64 * 1024).toString(16)}\r\n${'data: a\n'.repeat(8 * 1024)}\r\n`],
    ['whose head folds a header without end', 'HTTP/1.1 200 OK\r\nx-a: b\r\n', ' a\r\n'.repeat(10_000)],
    ['that is announced without end', '', 'HTTP/1.1 103 Early Hints\r\nlink: a\r\nkeep-alive: timeout=5\r\n\r\n'.repeat(1000)],
    ['that switches protocols', 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: a\r\n\r\n', letters],
    ['whose chunk size does not end', CHUNKED_EVENTS, '0'.repeat(64 * 1024)],
    ['whose chunk extension does not end', CHUNKED_EVENTS + '1;', letters],
    ['whose reason does not end', 'HTTP/1.1 200 ', letters]
  ])('%s is bounded', async (_name, head, chunk) => {
    const { options, meter } = meteredOptions(head, chunk)
    await startEndpoint(options, 1)
    const budget = createByteBudget(64 * MEBIBYTE)
    await readAll(budget, 1)
    expect(meter.mostBytes()).toBeLessThan(MAX_KEPT_BYTES)
    expect(budget.takenBytes()).toBe(0)
  })
})

describe('the memory kept for all responses', () => {
  // Guards against a limit of each event that many streams reach at the same time.
  it('whose events do not end is bounded', async () => {
    const { options, meter } = meteredOptions(CHUNKED_EVENTS, `${(64 * 1024).toString(16)}\r\n${letters}\r\n`)
    await startEndpoint(options, 40)
    const budget = createByteBudget(MAX_KEPT_BYTES)
    await readAll(budget, 40)
    expect(meter.mostBytes()).toBeLessThan(2 * MAX_KEPT_BYTES)
    expect(budget.takenBytes()).toBe(0)
  })
})
