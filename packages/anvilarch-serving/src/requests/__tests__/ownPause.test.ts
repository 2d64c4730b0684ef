import { forwardOnFakeClock } from '../__fixtures__/forwardHarness'

describe('a gateway whose own process stands still', () => {
  // Guards against this: an endpoint runs a request whose client has left two seconds before, and is cut off at once.
  it('sends nothing whose deadline has passed', async () => {
    const { clock, sent, client, placed } = forwardOnFakeClock({ holdsPlacement: true, timeoutMs: 1_000 })
    await clock.advanceAsync(1)
    clock.stall(3_000)
    placed()
    await clock.advanceAsync(0)
    expect(sent).toEqual([])
    expect(client).toMatchObject({ status: 504, ended: true })
  })

  // Guards against this: after a gateway wakes up, streams that endpoints have fed all the time run a second time elsewhere.
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
