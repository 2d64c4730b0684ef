import type { ConnectionEnd } from 'anvilarch-utils'
import { EVENT_STREAM_HEADERS, forwardOnFakeClock, type ForwardHarness, type ForwardHarnessOptions, SIGNED_HEADERS } from '../__fixtures__/forwardHarness'

const TWO_EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'

describe('a stream without a length or chunks, which ends with its connection', () => {
  async function unframedStream (options: ForwardHarnessOptions, text: string, end: ConnectionEnd = 'closed', atMs = 0): Promise<ForwardHarness> {
    const harness = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, ...options })
    await harness.clock.advanceAsync(atMs)
    const { exchange } = harness.sent[0]
    exchange.onHeaders(200, [...SIGNED_HEADERS, 'content-type', 'text/event-stream'].map(header => Buffer.from(header)))
    exchange.onData(Buffer.from(text))
    harness.sent[0].endConnection(end)
    await harness.clock.advanceAsync(0)
    return harness
  }

  // Guards against streams that are cut although they are whole, and against cut ones that look complete.
  it('is complete once its endpoint has no further event', async () => {
    const { clock, sent, client } = await unframedStream({ endpoints: 2 }, TWO_EVENTS)
    expect(client).toMatchObject({ status: 200, body: TWO_EVENTS, ended: false })
    expect(sent[1]).toMatchObject({ endpoint: sent[0].endpoint, lastEventId: 2 })
    sent[1].exchange.onHeaders(200, EVENT_STREAM_HEADERS.map(header => Buffer.from(header)))
    sent[1].endEvents()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: true, destroyed: false })
  })

  it('goes on at another endpoint after an end within an event', async () => {
    const { sent, client } = await unframedStream({ endpoints: 2 }, `${TWO_EVENTS}id: 3\nda`)
    expect(sent[1].endpoint).not.toBe(sent[0].endpoint)
    sent[1].event(3)
    sent[1].endEvents()
    expect(client).toMatchObject({ body: `${TWO_EVENTS}id: 3\ndata: x\n\n`, ended: true })
  })

  it('does not look complete if its connection broke and no other endpoint resumes it', async () => {
    const { client } = await unframedStream({ endpoints: 1 }, TWO_EVENTS, 'broken')
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })

  it('does not look complete if its endpoint is gone and no other one resumes it', async () => {
    const { clock, sent, client } = await unframedStream({ endpoints: 1 }, TWO_EVENTS)
    sent[1].exchange.onError(Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }))
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })

  it('is complete if its endpoint breaks the connections on which it is to confirm the end', async () => {
    const { clock, sent, client } = await unframedStream({ endpoints: 1 }, TWO_EVENTS)
    sent[1].reset()
    await clock.advanceAsync(0)
    expect(client.ended).toBe(false)
    sent[2].reset()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: true, destroyed: false })
    expect(sent).toHaveLength(3)
  })

  // Guards against a client that waits for the end of its response because endpoints have a queue.
  it('is complete after the time of one event without a confirmation', async () => {
    const { clock, sent, client } = await unframedStream({ endpoints: 1 }, TWO_EVENTS)
    await clock.advanceAsync(299)
    expect(client.ended).toBe(false)
    await clock.advanceAsync(1)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: true, destroyed: false })
    expect(sent[1].aborted).toBe(true)
  })

  // Guards against a whole stream that the end of a drain cuts.
  it('is complete when the drain ends before a confirmation', async () => {
    const { clock, client } = await unframedStream({ endpoints: 1, drain: { signalAtMs: 0, graceMs: 4000 } }, TWO_EVENTS, 'closed', 3200)
    expect(client.ended).toBe(false)
    await clock.advanceAsync(100)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: true, destroyed: false })
  })

  // Guards against two endpoints that are killed together and seem to confirm each other's end.
  it('is not confirmed by an endpoint that was in progress beside it', async () => {
    const harness = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, endpoints: 3, lastEventId: 2 })
    const { clock, sent, client } = harness
    await clock.advanceAsync(300)
    for (const { exchange, endConnection } of sent.slice(0, 2)) {
      exchange.onHeaders(200, [...SIGNED_HEADERS, 'content-type', 'text/event-stream'].map(header => Buffer.from(header)))
      endConnection('closed')
    }
    await clock.advanceAsync(0)
    sent[2].exchange.onError(Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }))
    await clock.advanceAsync(0)
    sent[3].event(3)
    sent[3].endEvents()
    expect(client).toMatchObject({ body: 'id: 3\ndata: x\n\n', ended: true })
  })

  it('is complete where it cannot be resumed, if its endpoint still listens', async () => {
    const { clock, sent, client } = await unframedStream({ endpoints: 2, resumable: false }, TWO_EVENTS)
    await clock.advanceAsync(50)
    expect(client).toMatchObject({ status: 200, body: TWO_EVENTS, ended: true, destroyed: false })
    expect(sent).toHaveLength(1)
  })

  it('does not look complete where it cannot be resumed, if its endpoint is gone', async () => {
    const { clock, client } = await unframedStream({ endpoints: 2, resumable: false, probe: () => 'refused' }, TWO_EVENTS)
    await clock.advanceAsync(50)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })
})
