import { EVENT_STREAM_HEADERS, forwardOnFakeClock, type ForwardHarness, type ForwardHarnessOptions } from '../__fixtures__/forwardHarness'

/** Breaks a stream after its second event. @returns the harness after the request was sent to another endpoint, if it was */
async function brokenStream (options: ForwardHarnessOptions): Promise<ForwardHarness> {
  const harness = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, ...options })
  await harness.clock.advanceAsync(0)
  harness.sent[0].event(1)
  harness.sent[0].event(2)
  harness.sent[0].reset()
  await harness.clock.advanceAsync(0)
  return harness
}

const TWO_EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'

describe('a stream that is to be resumed on another endpoint', () => {
  // Guards against the failure of the second endpoint ending the client's response as if it were complete.
  it.each([500, 504, 404, 400, 422, 200, 206])('is resumed on a third one if the second sends a buffered response with status %i', async status => {
    const { clock, sent, client } = await brokenStream({ endpoints: 3 })
    sent[1].respond(status)
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: false })
    sent[2].event(3)
    sent[2].endEvents()
    expect(client).toMatchObject({ status: 200, body: `${TWO_EVENTS}id: 3\ndata: x\n\n`, ended: true, destroyed: false })
  })

  it.each([500, 504, 404, 400, 422, 200, 206])('is cut if the last one sends a buffered response with status %i', async status => {
    const { clock, sent, client } = await brokenStream({ endpoints: 2 })
    sent[1].respond(status)
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })

  it('is cut if the route allows no further attempt after a buffered response', async () => {
    const { clock, sent, client } = await brokenStream({ endpoints: 3, maxAttempts: 2 })
    sent[1].respond(500)
    await clock.advanceAsync(0)
    expect(sent).toHaveLength(2)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })

  // Guards against treating a body that is not a stream of events as a stream without further events.
  it.each(['', 'a paragraph\n\n'])('is cut if the last one sends status 200 and %j, which is not a stream of events', async body => {
    const { clock, sent, client } = await brokenStream({ endpoints: 2 })
    sent[1].respond(200, body)
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })

  // Guards against a response that stays open because no endpoint can end it.
  it('is cut if there is no endpoint by the time it can be resumed', async () => {
    const { clock, sent, client, finishPlacement, removeEndpoints } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, delaysPlacement: true })
    finishPlacement()
    await clock.advanceAsync(0)
    sent[0].event(1)
    sent[0].reset()
    removeEndpoints()
    finishPlacement()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: 'id: 1\ndata: x\n\n', ended: false, destroyed: true })
  })

  it('is complete if the second endpoint has no further event', async () => {
    const { sent, client } = await brokenStream({ endpoints: 2 })
    sent[1].endEvents()
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: true, destroyed: false })
  })
})

describe('a stream that ends before its first event', () => {
  // Guards against sending an empty response as complete although the client has no event of its stream.
  it.each([true, false])('is no valid response to a request from the start (resumable: %s)', async resumable => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', endpoints: 2, timeoutMs: 10_000, resumable })
    await clock.advanceAsync(0)
    sent[0].block(': alive')
    sent[0].endEvents()
    await clock.advanceAsync(0)
    sent[1]?.endEvents()
    expect(client).toMatchObject({ ended: false, destroyed: true })
  })

  it('makes a request from the start run on another endpoint', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', endpoints: 2, timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].endEvents()
    await clock.advanceAsync(0)
    sent[1].event(1)
    sent[1].endEvents()
    expect(client).toMatchObject({ body: 'id: 1\ndata: x\n\n', ended: true })
  })

  it('is complete for a client that has the last event', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', lastEventId: 3 })
    await clock.advanceAsync(0)
    sent[0].endEvents()
    expect(client).toMatchObject({ body: '', ended: true, destroyed: false })
  })

  it('is complete if its events have no ids', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', resumable: false })
    await clock.advanceAsync(0)
    sent[0].block('data: y')
    sent[0].endEvents()
    expect(client).toMatchObject({ body: 'data: y\n\n', ended: true, destroyed: false })
  })
})

describe('a stream whose endpoint has sent only its head', () => {
  async function headOnly (options: ForwardHarnessOptions): Promise<ForwardHarness> {
    const harness = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, endpoints: 1, ...options })
    await harness.clock.advanceAsync(0)
    harness.sent[0].exchange.onHeaders(200, EVENT_STREAM_HEADERS.map(header => Buffer.from(header)))
    return harness
  }

  // Guards against a cut response to a request that still waits in the queue of its endpoint.
  it('gets status 502 if the drain ends before its first event', async () => {
    const { clock, client } = await headOnly({ drain: { signalAtMs: 0, graceMs: 4000 } })
    await clock.advanceAsync(4000)
    expect(client).toMatchObject({ status: 502, ended: true, destroyed: false })
  })

  it('gets status 502 if the endpoint breaks off and there is no other', async () => {
    const { clock, sent, client } = await headOnly({})
    sent[0].reset()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ status: 502, ended: true, destroyed: false })
  })
})

describe('a stream that goes on at an endpoint beside a silent one', () => {
  async function continuedStream (options: ForwardHarnessOptions): Promise<ForwardHarness> {
    const harness = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, maxAttempts: 2, ...options })
    await harness.clock.advanceAsync(0)
    harness.sent[0].event(1)
    await harness.clock.advanceAsync(350)
    harness.sent[1].event(2)
    harness.sent[1].reset()
    await harness.clock.advanceAsync(0)
    return harness
  }

  // Guards against a stream that is cut although the endpoint that began it is sound and was only slow.
  it.each([2, 3])('goes back to the silent one if the other one breaks off and no attempt is left (%i endpoints)', async endpoints => {
    const { clock, sent, client } = await continuedStream({ endpoints })
    expect(sent.map(({ endpoint, lastEventId }) => ({ endpoint, lastEventId }))).toEqual([{ endpoint: 'e1', lastEventId: undefined }, { endpoint: 'e2', lastEventId: 1 }, { endpoint: 'e1', lastEventId: 2 }])
    sent[2].event(3)
    sent[2].endEvents()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: `${TWO_EVENTS}id: 3\ndata: x\n\n`, ended: true, destroyed: false })
  })

  it('goes to a further one first', async () => {
    const { sent } = await continuedStream({ endpoints: 3, maxAttempts: 3 })
    expect(sent.map(({ endpoint }) => endpoint)).toEqual(['e1', 'e2', 'e3'])
  })

  it('is cut if the silent one breaks off as well', async () => {
    const { clock, sent, client } = await continuedStream({ endpoints: 3 })
    sent[2].reset()
    await clock.advanceAsync(0)
    expect(sent).toHaveLength(3)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })
})

describe('the metric of started responses', () => {
  it('counts a complete response', async () => {
    const { sent, startedResponses } = await brokenStream({ endpoints: 2 })
    sent[1].endEvents()
    expect(await startedResponses()).toEqual([['complete', 'answered']])
  })

  it('counts a cut response', async () => {
    const { sent, startedResponses } = await brokenStream({ endpoints: 2 })
    sent[1].respond(500)
    expect(await startedResponses()).toEqual([['cut', 'broken_off']])
  })

  it('counts a response whose client disconnected', async () => {
    const { disconnect, startedResponses } = await brokenStream({ endpoints: 2 })
    disconnect()
    expect(await startedResponses()).toEqual([['left', 'client_left']])
  })

  // Guards against responses that this process cuts and that count as left by their clients.
  it('counts a response as cut whose connection the gateway closes', async () => {
    const { clock, closeOnShutdown, startedResponses } = await brokenStream({ endpoints: 2 })
    closeOnShutdown()
    await clock.advanceAsync(0)
    expect(await startedResponses()).toEqual([['cut', 'broken_off']])
  })

  it('does not count a failure that is sent as a buffered response', async () => {
    const { clock, sent, startedResponses } = forwardOnFakeClock({ kind: 'stream', endpoints: 1 })
    await clock.advanceAsync(0)
    sent[0].respond(500)
    expect(await startedResponses()).toEqual([])
  })
})

describe('an event without an id', () => {
  // Guards against a duplicate event: the ids around it look contiguous, and an endpoint that resumes the stream after the last id sends it again.
  it.each(['data: y', 'event: note\ndata: y', 'id: x\ndata: y', '{"error":"busy"}'])('(%j) is not forwarded in a resumable stream', async block => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    sent[0].block(block)
    await clock.advanceAsync(0)
    sent[1].event(2)
    sent[1].endEvents()
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: true })
  })

  it('is forwarded in a stream that is not resumable', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, resumable: false })
    await clock.advanceAsync(0)
    sent[0].block('data: y')
    sent[0].endEvents()
    expect(client).toMatchObject({ body: 'data: y\n\n', ended: true })
  })

  it('is not assumed for a block that holds only comments', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    sent[0].block(': alive')
    sent[0].event(2)
    sent[0].endEvents()
    expect(client).toMatchObject({ body: 'id: 1\ndata: x\n\n: alive\n\nid: 2\ndata: x\n\n', ended: true })
  })
})

describe('a stream that exceeds the size limit of buffered responses', () => {
  // Guards against cutting a long stream for its size although it is not buffered.
  it('is forwarded', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    for (let id = 1; id <= 20; id++) sent[0].block(`id: ${id}\ndata: ${'x'.repeat(1024 * 1024)}`)
    sent[0].endEvents()
    expect({ ended: client.ended, destroyed: client.destroyed }).toEqual({ ended: true, destroyed: false })
  })
})

describe('a lookup that is to be sent again', () => {
  // Guards against a response that the request has not run although an endpoint may have run it.
  it('gets status 502 if there is no endpoint by then', async () => {
    const { clock, sent, client, finishPlacement, removeEndpoints } = forwardOnFakeClock({ delaysPlacement: true })
    finishPlacement()
    await clock.advanceAsync(0)
    sent[0].reset()
    removeEndpoints()
    finishPlacement()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ status: 502, ended: true })
  })
})
