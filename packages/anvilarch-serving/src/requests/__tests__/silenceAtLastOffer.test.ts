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

describe('an endpoint to which there is no connection in time', () => {
  // Guards against this: a request that never got to it counts as one that it may have run.
  it.each<ForwardHarnessOptions['kind']>(['idempotent', 'stream'])('leaves all attempts of the route to others (%s)', async kind => {
    const { clock, sent, client } = forwardOnFakeClock({ kind, endpoints: 3, maxAttempts: 2, timeoutMs: 10_000, onSend: ({ endpoint }) => endpoint !== 'e1' })
    await clock.advanceAsync(350)
    sent[1].reset()
    await clock.advanceAsync(0)
    sent[2].answer(200)
    expect(client).toMatchObject({ status: 200, body: 'ok' })
  })

  it('lets the client be told that its request has not run', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ endpoints: 2, onSend: ({ endpoint }) => endpoint !== 'e1' })
    await clock.advanceAsync(350)
    sent[1].answer(421)
    await clock.advanceAsync(0)
    expect(client.status).toBe(503)
  })
})
