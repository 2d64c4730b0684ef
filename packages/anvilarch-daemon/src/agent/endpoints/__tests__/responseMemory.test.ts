import { createSystemClock } from 'anvilarch-utils'
import { Pool } from 'undici'
import { type EndlessEndpoint, startEndlessEndpoint } from '../../../../../anvilarch-serving/src/requests/__fixtures__/endlessEndpoint'
import { createMemoryMeter, HEAP_LIMIT_BYTES } from '../../../../../anvilarch-serving/src/requests/__fixtures__/keptMemory'
import { createEngineEventReader } from '../engineEvents'
import { requestJson } from '../httpExchange'

const MEBIBYTE = 1024 * 1024

/** What one response may take of the heap that all of a daemon shares. */
const MAX_KEPT_BYTES = HEAP_LIMIT_BYTES / 4

const letters = 'a'.repeat(64 * 1024)

describe('the memory kept for a response of an engine', () => {
  let endpoint: EndlessEndpoint

  // Guards against an agent that keeps whatever an engine sends until the timeout of its call.
  it.each([
    ['in large chunks', `${letters.length.toString(16)}\r\n${letters}\r\n`],
    ['in chunks of one byte', '1\r\na\r\n'.repeat(10_000)]
  ])('is bounded: JSON without end %s', async (_name, chunk) => {
    const meter = createMemoryMeter(4 * MEBIBYTE)
    endpoint = await startEndlessEndpoint({ start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', chunk, onSent: () => meter.onProgress(endpoint.sentBytes()) })
    const pool = new Pool(`http://${endpoint.address}`, { connections: 1 })
    const response = await requestJson(pool, { method: 'GET', path: '/' }, { clock: createSystemClock(), timeoutMs: 2000 })
    await pool.destroy()
    endpoint.close()
    expect(response).toHaveProperty('failed')
    expect(meter.mostBytes()).toBeLessThan(MAX_KEPT_BYTES)
  })

  it.each([
    ['a line', 'data: ', letters],
    ['an event', '', 'data: a\n'.repeat(8 * 1024)]
  ])('is bounded: %s of an event stream without end', (_name, start, chunk) => {
    const meter = createMemoryMeter(8 * MEBIBYTE)
    const reader = createEngineEventReader(() => {})
    try {
      reader.feed(Buffer.from(start))
      for (let bytes = 0; bytes < 64 * MEBIBYTE; bytes += chunk.length) {
        reader.feed(Buffer.from(chunk))
        meter.onProgress(bytes)
      }
    } catch {
      // A reader may refuse such an event.
    }
    expect(meter.mostBytes()).toBeLessThan(MAX_KEPT_BYTES)
  })
})
