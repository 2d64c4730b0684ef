import { forwardOnFakeClock } from '../__fixtures__/forwardHarness'

describe('a gateway whose own process stands still', () => {
  // Symptom: an endpoint runs a request whose client has left two seconds before, and is cut off at once.
  // Sequence: a request waits for the loads of endpoints; the gateway's process stands still past the deadline; on waking, the
  // timer that ends the wait for loads runs before the one of the deadline. Cause: the first send did not look at the
  // time that was left. Evidence: a lookup whose client's deadline was at 14.02 s was sent at 16.02 s, with 1 ms to run.
  it('sends nothing whose deadline has passed', async () => {
    const { clock, sent, client, placed } = forwardOnFakeClock({ holdsPlacement: true, timeoutMs: 1_000 })
    await clock.advanceAsync(1)
    clock.stall(3_000)
    placed()
    await clock.advanceAsync(0)
    expect(sent).toEqual([])
    expect(client).toMatchObject({ status: 504, ended: true })
  })

  // Symptom: after a gateway wakes up, streams that endpoints have fed all the time run a second time elsewhere. Sequence: the
  // process stands still for longer than a stream may be silent; events wait in its sockets; the timer runs before they are read.
  // Cause: the own pause counted as silence of the endpoint.
  it('goes on with a stream whose events came meanwhile', async () => {
    const { clock, sent, client, ownPauses } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    clock.stall(2_000)
    clock.advance(0)
    sent[0].event(2)
    await clock.advanceAsync(200)
    expect(sent).toHaveLength(1)
    expect(sent[0].aborted).toBe(false)
    expect(client.body).toBe('id: 1\ndata: x\n\nid: 2\ndata: x\n\n')
    expect(await ownPauses()).toBe(1)
  })

  it('waits for a lookup whose answer came meanwhile', async () => {
    const { clock, sent, client } = forwardOnFakeClock()
    await clock.advanceAsync(0)
    clock.stall(1_500)
    clock.advance(0)
    sent[0].answer()
    await clock.advanceAsync(0)
    expect(sent).toHaveLength(1)
    expect(client).toMatchObject({ status: 200, body: 'ok' })
  })
})

describe('an endpoint that is silent', () => {
  it('loses a stream to another endpoint once three quarters of the longest pause are over', async () => {
    const { clock, sent } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    await clock.advanceAsync(299)
    expect(sent).toHaveLength(1)
    await clock.advanceAsync(1)
    expect(sent.map(({ endpoint, sentAtMs }) => [endpoint, sentAtMs])).toEqual([['e1', 0], ['e2', 300]])
    expect(sent[0].aborted).toBe(true)
  })

  it('loses it also after a pause of the gateway, a quarter of that time later', async () => {
    const { clock, sent } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    clock.stall(2_000)
    await clock.advanceAsync(75)
    expect(sent.map(({ endpoint, sentAtMs }) => [endpoint, sentAtMs])).toEqual([['e1', 0], ['e2', 2_075]])
  })
})
