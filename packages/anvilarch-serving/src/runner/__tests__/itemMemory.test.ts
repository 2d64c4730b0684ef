import { createSystemClock } from 'anvilarch-utils'
import { createPool, type Pool } from '../../endpoints/httpPool'
import { type EndlessEndpoint, type EndlessEndpointOptions, startEndlessEndpoint } from '../../requests/__fixtures__/endlessEndpoint'
import { createMemoryMeter, HEAP_LIMIT_BYTES } from '../../requests/__fixtures__/keptMemory'
import type { RequestWire } from '../../requests/types'
import type { EngineWire } from '../../roles/types'
import { type ItemRunOptions, type RunEnd, runItem } from '../itemRun'

const MEBIBYTE = 1024 * 1024

/** What one item may take of the heap that all of an agent shares. */
const MAX_KEPT_BYTES = HEAP_LIMIT_BYTES / 4

/** Bytes after which a run that still reads is aborted. */
const MAX_READ_BYTES = 64 * MEBIBYTE

const MEASURE_EVERY_BYTES = 8 * MEBIBYTE

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'

const ITEM: Omit<ItemRunOptions, 'clock' | 'pool' | 'text' | 'onEnd'> = {
  requestWire: { decodeResponse: () => ({ requestId: 'item', signed: true, notRun: false }) } as unknown as RequestWire,
  engineWire: { encodeItem: () => [] } as unknown as EngineWire,
  item: { id: 'item', path: '/', headers: {}, body: Buffer.alloc(0), tokens: 10 },
  host: 'h',
  account: undefined,
  endpointId: 'e1',
  deadlineMs: 100_000,
  onEvent: () => {}
}

let endpoint: EndlessEndpoint
let pool: Pool

afterEach(async () => {
  await pool.destroy()
  endpoint.close()
})

/** @returns chunks of events with increasing ids */
const eventsOf = (fieldsAt: (id: number) => string, perChunk: number): EndlessEndpointOptions['chunk'] => index =>
  Array.from({ length: perChunk }, (_, offset) => index * perChunk + offset + 1).map(id => `id: ${id}\n${fieldsAt(id)}\n`).join('')

const comment = `: ${'a'.repeat(256 * 1024)}\n`

describe('the memory kept for the text of an item', () => {
  // Guards against limits that count the characters of a text and not what holds them.
  it.each([
    ['whose events are empty', eventsOf(() => '', 4000)],
    ['whose events are short', eventsOf(() => 'data: ab\n', 4000)],
    ['whose events have long comments', eventsOf(id => `data: the text of event ${id}\n${comment}`, 1)],
    ['whose events are long', eventsOf(() => `data: ${'a'.repeat(16 * 1024)}\n`, 4)]
  ])('%s is bounded', async (_name, chunk) => {
    const meter = createMemoryMeter(MEASURE_EVERY_BYTES)
    endpoint = await startEndlessEndpoint({ start: HEAD, chunk, onSent: () => meter.onProgress(endpoint.sentBytes()) })
    pool = createPool(`http://${endpoint.address}`, { connections: 1, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
    const ends: RunEnd[] = []
    const text = { lastEventId: 0, eventData: [], softwareVersion: undefined }
    const run = runItem({ ...ITEM, clock: createSystemClock(), pool, text, onEnd: end => ends.push(end) })
    while (ends.length === 0 && endpoint.sentBytes() < MAX_READ_BYTES) await new Promise(resolve => setTimeout(resolve, 5))
    run.abort()
    expect(meter.mostBytes()).toBeLessThan(MAX_KEPT_BYTES)
  })
})
