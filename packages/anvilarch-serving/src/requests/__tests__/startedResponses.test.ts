import { forwardOnFakeClock, type ForwardHarness, type ForwardHarnessOptions } from '../__fixtures__/forwardHarness'

/** A stream that breaks off after its second event. @returns once it has been sent elsewhere, if it is */
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

describe('a stream that is to go on at another endpoint', () => {
  // Guards against this: the failure of the second endpoint ends the client's answer as if it were complete.
  it.each([500, 504, 404, 400, 422, 200, 206])('goes on at a third one when the second answers as a whole with status %i', async status => {
    const { clock, sent, client } = await brokenStream({ endpoints: 3 })
    sent[1].answer(status)
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: false })
    sent[2].event(3)
    sent[2].endEvents()
    expect(client).toMatchObject({ status: 200, body: `${TWO_EVENTS}id: 3\ndata: x\n\n`, ended: true, destroyed: false })
  })

  it.each([500, 504, 404, 400, 422, 200, 206])('is cut when the last one answers as a whole with status %i', async status => {
    const { clock, sent, client } = await brokenStream({ endpoints: 2 })
    sent[1].answer(status)
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })

  it('is cut when the route allows no further attempt after a whole answer', async () => {
    const { clock, sent, client } = await brokenStream({ endpoints: 3, maxAttempts: 2 })
    sent[1].answer(500)
    await clock.advanceAsync(0)
    expect(sent).toHaveLength(2)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })

  // Guards against this: a body that is no stream of events passes for a stream without further events.
  it.each(['', 'a paragraph\n\n'])('is cut when the last one answers 200 with %j, which is no stream of events', async body => {
    const { clock, sent, client } = await brokenStream({ endpoints: 2 })
    sent[1].answer(200, body)
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: false, destroyed: true })
  })

  // Guards against this: the client waits on an answer that nothing will end.
  it('is cut when no endpoint is left by the time at which it could go on', async () => {
    const { clock, sent, client, placed, removeEndpoints } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, holdsPlacement: true })
    placed()
    await clock.advanceAsync(0)
    sent[0].event(1)
    sent[0].reset()
    removeEndpoints()
    placed()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ body: 'id: 1\ndata: x\n\n', ended: false, destroyed: true })
  })

  it('is complete when the second endpoint has no event left', async () => {
    const { sent, client } = await brokenStream({ endpoints: 2 })
    sent[1].endEvents()
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: true, destroyed: false })
  })
})

describe('a stream of events that ends before its first one', () => {
  // Guards against this: an empty answer is framed as complete though the client has no event of its stream.
  it.each([true, false])('is no answer to a request from the start (resumable: %s)', async resumable => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', endpoints: 2, timeoutMs: 10_000, resumable })
    await clock.advanceAsync(0)
    sent[0].block(': alive')
    sent[0].endEvents()
    await clock.advanceAsync(0)
    sent[1]?.endEvents()
    expect(client).toMatchObject({ ended: false, destroyed: true })
  })

  it('is none for one from the start that goes on elsewhere', async () => {
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

  it('is complete if its events bear no ids', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', resumable: false })
    await clock.advanceAsync(0)
    sent[0].block('data: y')
    sent[0].endEvents()
    expect(client).toMatchObject({ body: 'data: y\n\n', ended: true, destroyed: false })
  })
})

describe('the metric of begun answers', () => {
  it('tells one that is complete', async () => {
    const { sent, begunAnswers } = await brokenStream({ endpoints: 2 })
    sent[1].endEvents()
    expect(await begunAnswers()).toEqual([['complete', 'answered']])
  })

  it('tells one that is cut', async () => {
    const { sent, begunAnswers } = await brokenStream({ endpoints: 2 })
    sent[1].answer(500)
    expect(await begunAnswers()).toEqual([['cut', 'broken_off']])
  })

  it('tells one that its client has left', async () => {
    const { leave, begunAnswers } = await brokenStream({ endpoints: 2 })
    leave()
    expect(await begunAnswers()).toEqual([['left', 'client_left']])
  })

  it('does not count a failure that is the whole answer', async () => {
    const { clock, sent, begunAnswers } = forwardOnFakeClock({ kind: 'stream', endpoints: 1 })
    await clock.advanceAsync(0)
    sent[0].answer(500)
    expect(await begunAnswers()).toEqual([])
  })
})

describe('an event without an id', () => {
  // Guards against this: events after it are joined to those before it, and an endpoint that goes on sends it again.
  it.each(['data: y', 'event: note\ndata: y', 'id: x\ndata: y', '{"error":"busy"}'])('(%j) is not handed on in a stream that may be resumed', async block => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    sent[0].block(block)
    await clock.advanceAsync(0)
    sent[1].event(2)
    sent[1].endEvents()
    expect(client).toMatchObject({ body: TWO_EVENTS, ended: true })
  })

  it('is handed on in a stream that may not be resumed', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000, resumable: false })
    await clock.advanceAsync(0)
    sent[0].block('data: y')
    sent[0].endEvents()
    expect(client).toMatchObject({ body: 'data: y\n\n', ended: true })
  })

  it('is none if it holds comments only', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    sent[0].block(': alive')
    sent[0].event(2)
    sent[0].endEvents()
    expect(client).toMatchObject({ body: 'id: 1\ndata: x\n\n: alive\n\nid: 2\ndata: x\n\n', ended: true })
  })
})

describe('a stream of more bytes than a whole answer may have', () => {
  // Guards against this: a long stream is cut for its size, though none of it is held in memory.
  it('is handed on', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    for (let id = 1; id <= 20; id++) sent[0].block(`id: ${id}\ndata: ${'x'.repeat(1024 * 1024)}`)
    sent[0].endEvents()
    expect({ ended: client.ended, destroyed: client.destroyed }).toEqual({ ended: true, destroyed: false })
  })
})

describe('a lookup that is to be sent again', () => {
  // Guards against this: the client is told that its request has not run though an endpoint may have run it.
  it('is answered 502 when no endpoint is left by then', async () => {
    const { clock, sent, client, placed, removeEndpoints } = forwardOnFakeClock({ holdsPlacement: true })
    placed()
    await clock.advanceAsync(0)
    sent[0].reset()
    removeEndpoints()
    placed()
    await clock.advanceAsync(0)
    expect(client).toMatchObject({ status: 502, ended: true })
  })
})
