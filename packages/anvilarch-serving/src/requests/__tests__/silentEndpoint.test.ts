import { forwardOnFakeClock, type ForwardHarness, type SentRequest, SIGNED_HEADERS } from '../__fixtures__/forwardHarness'

/** Longer than the response timeouts of the harness's route, and shorter than a client waits. */
const SILENCE_MS = 350

function refuse ({ exchange }: SentRequest): void {
  exchange.onHeaders(503, [...SIGNED_HEADERS, 'not-run', '1', 'content-length', '0'].map(text => Buffer.from(text)))
  exchange.onComplete()
}

async function startStream (options: Parameters<typeof forwardOnFakeClock>[0] = {}): Promise<ForwardHarness> {
  const harness = forwardOnFakeClock({ kind: 'stream', timeoutMs: 5000, ...options })
  await harness.clock.advanceAsync(0)
  harness.sent[0].event(1)
  await harness.clock.advanceAsync(SILENCE_MS)
  expect(harness.sent).toHaveLength(2)
  return harness
}

describe('a silent endpoint', () => {
  // Guards against streams that are cut because a sound endpoint pauses while the others are full.
  it('continues its stream when the others have refused it', async () => {
    const { clock, sent, client } = await startStream()
    refuse(sent[1])
    await clock.advanceAsync(SILENCE_MS)
    sent[0].event(2)
    sent[0].endEvents()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ ended: true, destroyed: false, body: 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n' })
  })

  // Guards against lookups that fail although their endpoint would have responded in time.
  it('responds to its lookup when the others have refused it', async () => {
    const { clock, sent, client } = forwardOnFakeClock()
    await clock.advanceAsync(SILENCE_MS)
    refuse(sent[1])
    await clock.advanceAsync(0)
    expect(client.status).toBeUndefined()
    sent[0].respond()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ status: 200, body: 'ok' })
  })

  it('is aborted when another endpoint sends the next event', async () => {
    const { clock, sent, client } = await startStream()
    expect(sent[0].aborted).toBe(false)
    sent[1].event(2)
    expect(sent[0].aborted).toBe(true)
    sent[1].endEvents()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ ended: true, body: 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n' })
  })

  it('has the other attempt aborted when it sends the next event itself', async () => {
    const { sent } = await startStream()
    sent[0].event(2)
    expect(sent.map(({ aborted }) => aborted)).toEqual([false, true])
  })

  it('has its stream sent again to an endpoint that refused it, in case there is room by now', async () => {
    const { clock, sent } = await startStream()
    refuse(sent[1])
    await clock.advanceAsync(SILENCE_MS)
    expect(sent.map(({ endpoint, lastEventId }) => [endpoint, lastEventId])).toEqual([['e1', undefined], ['e2', 1], ['e2', 1]])
  })

  it('uses up the attempts of the route together with the others', async () => {
    const { clock, sent } = await startStream({ endpoints: 4, maxAttempts: 2 })
    await clock.advanceAsync(3 * SILENCE_MS)
    expect(sent).toHaveLength(2)
  })

  it('leaves its stream to the other endpoint when it fails', async () => {
    const { clock, sent, client } = await startStream()
    sent[0].reset()
    await clock.advanceAsync(0)
    expect(sent).toHaveLength(2)
    sent[1].event(2)
    sent[1].endEvents()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ ended: true, body: 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n' })
  })

  // Guards against a stream that is cut although its first endpoint is sound, after full endpoints have used up the sends.
  it('is gone back to after any number of refusals', async () => {
    const { clock, sent, client } = await startStream({ endpoints: 8, maxAttempts: 2 })
    for (let refusals = 0; refusals < 4; refusals++) {
      refuse(sent[sent.length - 1])
      await clock.advanceAsync(0)
    }
    sent[5].event(2)
    sent[5].reset()
    await clock.advanceAsync(0)
    expect(sent.slice(5).map(({ endpoint, lastEventId }) => [endpoint, lastEventId])).toEqual([['e6', 1], ['e1', 2]])
    sent[6].reset()
    await clock.advanceAsync(0)
    expect(sent).toHaveLength(7)
    expect(client).toMatchObject({ ended: false, destroyed: true })
  })

  // Guards against a stream that is cut although an endpoint that was never reached could continue it.
  it('leaves the endpoint beside it untried if that one has not been reached', async () => {
    const { clock, sent, client } = await startStream({ onSend: ({ endpoint, lastEventId }) => endpoint === 'e1' || lastEventId === 2 })
    sent[0].event(2)
    sent[0].reset()
    await clock.advanceAsync(0)
    expect(sent.map(({ endpoint, lastEventId }) => [endpoint, lastEventId])).toEqual([['e1', undefined], ['e2', 1], ['e2', 2]])
    sent[2].endEvents()
    expect(client).toMatchObject({ ended: true, destroyed: false })
  })

  // Guards against a stream that stays at an endpoint for as long as that one sends comments.
  it('is one that sends comments alone', async () => {
    const { clock, sent } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 5000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    for (let waitedMs = 0; waitedMs < SILENCE_MS; waitedMs += 50) {
      sent[0].block(': alive')
      await clock.advanceAsync(50)
    }
    expect(sent).toHaveLength(2)
  })
})
