import { forwardOnFakeClock, type ForwardHarness, type ForwardHarnessOptions } from '../__fixtures__/forwardHarness'

/** A request that five endpoints have refused, at the sixth, while further ones are left. */
async function atLastOffer (options: ForwardHarnessOptions): Promise<ForwardHarness> {
  const harness = forwardOnFakeClock({ endpoints: 8, timeoutMs: 10_000, ...options })
  await harness.clock.advanceAsync(0)
  for (let index = 0; index < 5; index++) {
    harness.sent[index].answer(421)
    await harness.clock.advanceAsync(0)
  }
  expect(harness.sent).toHaveLength(6)
  return harness
}

describe('an endpoint that is silent where nothing may be sent elsewhere', () => {
  // Guards against this: a slow answer is given up though no other one can come.
  it('keeps its lookup', async () => {
    const { clock, sent, client } = await atLastOffer({})
    await clock.advanceAsync(1000)
    sent[5].answer(200)
    expect(client).toMatchObject({ status: 200, body: 'ok' })
  })

  it('keeps its stream', async () => {
    const { clock, sent, client } = await atLastOffer({ kind: 'stream' })
    sent[5].event(1)
    await clock.advanceAsync(1000)
    sent[5].event(2)
    sent[5].endEvents()
    expect(client).toMatchObject({ ended: true, destroyed: false })
  })
})
