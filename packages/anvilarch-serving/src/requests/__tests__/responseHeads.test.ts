import { EVENT_STREAM_HEADERS, forwardOnFakeClock, type ForwardHarness, type ForwardHarnessOptions, type SentRequest } from '../__fixtures__/forwardHarness'

/** Response timeout of the harness's route before the first event, and a margin. */
const SILENCE_MS = 350

function sendHead ({ endpoint, exchange }: SentRequest): void {
  exchange.onHeaders(200, [...EVENT_STREAM_HEADERS, 'from', endpoint].map(header => Buffer.from(header)))
}

function sendEvent ({ exchange }: SentRequest, id: number): void {
  exchange.onData(Buffer.from(`id: ${id}\ndata: x\n\n`))
}

/** @returns the endpoint whose head the client got */
function headOf ({ client: { headers } }: ForwardHarness): string | undefined {
  const index = headers.indexOf('from')
  return index < 0 ? undefined : headers[index + 1]
}

/** @returns a stream with two attempts in progress, each of which has sent its head */
async function twoHeads (options: ForwardHarnessOptions = {}): Promise<ForwardHarness> {
  const harness = forwardOnFakeClock({ kind: 'stream', timeoutMs: 5000, ...options })
  await harness.clock.advanceAsync(0)
  sendHead(harness.sent[0])
  await harness.clock.advanceAsync(SILENCE_MS)
  sendHead(harness.sent[1])
  expect(harness.sent.map(({ aborted }) => aborted)).toEqual([false, false])
  expect(harness.client.headCount).toBe(0)
  return harness
}

// Guards against a client that gets the head of one endpoint and the events of another, and against a head that ends the attempt of a sound endpoint.
describe('a stream of which two endpoints have sent the head', () => {
  it.each([0, 1])('has the head of the endpoint that sends the first event (%i)', async first => {
    const harness = await twoHeads()
    const { clock, sent, client } = harness
    sendEvent(sent[first], 1)
    sent[first].exchange.onComplete()
    await clock.advanceAsync(0)
    expect(headOf(harness)).toBe(sent[first].endpoint)
    expect(sent[1 - first].aborted).toBe(true)
    expect(client).toMatchObject({ status: 200, headCount: 1, body: 'id: 1\ndata: x\n\n', ended: true })
  })

  it.each([0, 1])('goes on at the other one if one of them breaks off (%i)', async broken => {
    const harness = await twoHeads({ maxAttempts: 2 })
    const { clock, sent, client } = harness
    sent[broken].reset()
    await clock.advanceAsync(0)
    const other = sent[1 - broken]
    sendEvent(other, 1)
    other.exchange.onComplete()
    await clock.advanceAsync(0)
    expect(headOf(harness)).toBe(other.endpoint)
    expect(client).toMatchObject({ headCount: 1, ended: true, destroyed: false })
  })

  it('gets status 502 if both break off', async () => {
    const { clock, sent, client } = await twoHeads({ maxAttempts: 2 })
    sent[0].reset()
    sent[1].reset()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ status: 502, headCount: 1, ended: true, destroyed: false })
  })

  it('gets status 504 at its deadline', async () => {
    const { clock, sent, client } = await twoHeads()
    await clock.advanceAsync(5000 - SILENCE_MS)
    expect(client).toMatchObject({ status: 504, ended: true, endedAtMs: 5000 })
    expect(sent.map(({ aborted }) => aborted)).toEqual([true, true])
  })

  it('gets the complete failure of one of them if the other breaks off', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 5000, maxAttempts: 2 })
    await clock.advanceAsync(0)
    sendHead(sent[0])
    await clock.advanceAsync(SILENCE_MS)
    sent[1].respond(500, 'failed')
    await clock.advanceAsync(0)
    expect(client.status).toBeUndefined()
    sent[0].reset()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ status: 500, body: 'failed', headCount: 1, ended: true })
  })

  it('gets the complete response of one of them that is no stream', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 5000 })
    await clock.advanceAsync(0)
    sendHead(sent[0])
    await clock.advanceAsync(SILENCE_MS)
    sent[1].respond(404, 'none')
    await clock.advanceAsync(0)
    expect(sent[0].aborted).toBe(true)
    expect(client).toMatchObject({ status: 404, body: 'none', headCount: 1, ended: true })
  })
})

describe('a stream whose endpoint has sent only its head', () => {
  it('leaves its endpoint when the client disconnects', async () => {
    const { clock, sent, client, disconnect, inProgress } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 5000 })
    await clock.advanceAsync(0)
    sendHead(sent[0])
    disconnect()
    expect(sent[0].aborted).toBe(true)
    expect(inProgress()).toEqual({ loads: 0, usageReports: 0 })
    expect(client.headCount).toBe(0)
  })

  // Guards against a response that is held until more has come than the client would get without the gateway.
  it.each([
    ['an event', 'id: 1\ndata: x\n\n'],
    ['a comment', ': alive\n\n'],
    ['an event and the first bytes of the next one', 'id: 1\ndata: x\n\nid: 2\nda']
  ])('is passed on with %s at once', async (_name, text) => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 5000 })
    await clock.advanceAsync(0)
    sendHead(sent[0])
    sent[0].exchange.onData(Buffer.from(text))
    expect(client).toMatchObject({ status: 200, body: text.slice(0, text.lastIndexOf('\n\n') + 2) })
  })

  // Guards against an endpoint that is left although it has begun, because a head counted as its first event.
  it('is not sent beside it any sooner than without the head', async () => {
    const { clock, sent } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 5000 })
    await clock.advanceAsync(0)
    await clock.advanceAsync(200)
    sendHead(sent[0])
    await clock.advanceAsync(99)
    expect(sent).toHaveLength(1)
    await clock.advanceAsync(1)
    expect(sent).toHaveLength(2)
  })
})
