import { forwardOnFakeClock } from '../__fixtures__/forwardHarness'

describe('a gateway whose process pauses', () => {
  // Guards against sending a request after its deadline: its client disconnected two seconds before, so the attempt is aborted immediately.
  it('does not send a request whose deadline has passed', async () => {
    const { clock, sent, client, finishPlacement } = forwardOnFakeClock({ delaysPlacement: true, timeoutMs: 1_000 })
    await clock.advanceAsync(1)
    clock.stall(3_000)
    finishPlacement()
    await clock.advanceAsync(0)
    expect(sent).toEqual([])
    expect(client).toMatchObject({ status: 504, ended: true })
  })

  // Guards against running streams a second time on other endpoints after a pause although their endpoints kept sending events.
  it('continues a stream whose events arrived during the pause', async () => {
    const { clock, sent, client, processPauses } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    clock.stall(2_000)
    clock.advance(0)
    sent[0].event(2)
    await clock.advanceAsync(200)
    expect(sent).toHaveLength(1)
    expect(sent[0].aborted).toBe(false)
    expect(client.body).toBe('id: 1\ndata: x\n\nid: 2\ndata: x\n\n')
    expect(await processPauses()).toBe(1)
  })

  it('accepts the response to a lookup that arrived during the pause', async () => {
    const { clock, sent, client } = forwardOnFakeClock()
    await clock.advanceAsync(0)
    clock.stall(1_500)
    clock.advance(0)
    sent[0].respond()
    await clock.advanceAsync(0)
    expect(sent).toHaveLength(1)
    expect(client).toMatchObject({ status: 200, body: 'ok' })
  })
})

describe('an unresponsive endpoint', () => {
  it('has its stream resumed on another endpoint after three quarters of the gap objective', async () => {
    const { clock, sent } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    await clock.advanceAsync(299)
    expect(sent).toHaveLength(1)
    await clock.advanceAsync(1)
    expect(sent.map(({ endpoint, sentAtMs }) => [endpoint, sentAtMs])).toEqual([['e1', 0], ['e2', 300]])
    expect(sent[0].aborted).toBe(false)
    sent[1].event(2)
    expect(sent[0].aborted).toBe(true)
  })

  it('has its stream resumed a quarter of that time later if the gateway has paused', async () => {
    const { clock, sent } = forwardOnFakeClock({ kind: 'stream', timeoutMs: 10_000 })
    await clock.advanceAsync(0)
    sent[0].event(1)
    clock.stall(2_000)
    await clock.advanceAsync(75)
    expect(sent.map(({ endpoint, sentAtMs }) => [endpoint, sentAtMs])).toEqual([['e1', 0], ['e2', 2_075]])
  })
})
