import { createSystemClock } from 'anvilarch-utils'
import { type EndlessEndpoint, startEndlessEndpoint } from '../../requests/__fixtures__/endlessEndpoint'
import { createMemoryMeter, HEAP_LIMIT_BYTES } from '../../requests/__fixtures__/keptMemory'
import { createDirectTransport } from '../transport'

const MEBIBYTE = 1024 * 1024

/** What one response of the store may take of the heap that all of a daemon shares. */
const MAX_KEPT_BYTES = HEAP_LIMIT_BYTES / 4

let store: EndlessEndpoint

afterEach(() => { store.close() })

const letters = 'a'.repeat(64 * 1024)
const chunked = (status: string): string => `HTTP/1.1 ${status}\r\nTransfer-Encoding: chunked\r\n\r\n`

describe('the memory kept for a response of the store', () => {
  // Guards against a daemon that keeps whatever comes until the timeout of the call.
  it.each([
    ['in chunks', chunked('200 OK'), `${(64 * 1024).toString(16)}\r\n${letters}\r\n`, 'no_answer'],
    ['in chunks of one byte', chunked('200 OK'), '1\r\na\r\n'.repeat(10_000), 'no_answer'],
    ['of a refusal without a length', 'HTTP/1.1 503 Busy\r\n\r\n', letters, 'answered']
  ])('is bounded: a body without end %s', async (_name, start, chunk, outcome) => {
    const meter = createMemoryMeter(4 * MEBIBYTE)
    store = await startEndlessEndpoint({ start, chunk, onSent: () => meter.onProgress(store.sentBytes()) })
    const call = createDirectTransport(store.address, createSystemClock())
    const response = await call({ name: 'read', method: 'GET', path: '/read', headers: [], body: undefined, timeoutMs: 1500 })
    expect(response.outcome).toBe(outcome)
    expect(meter.mostBytes()).toBeLessThan(MAX_KEPT_BYTES)
  })
})
