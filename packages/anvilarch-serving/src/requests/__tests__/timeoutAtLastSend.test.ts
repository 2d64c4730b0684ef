import { forwardOnFakeClock, type ForwardHarness, type ForwardHarnessOptions } from '../__fixtures__/forwardHarness'

/** @returns a request that five endpoints have refused and that is in progress at the sixth, while there are further ones */
async function atLastSend (options: ForwardHarnessOptions): Promise<ForwardHarness> {
  const harness = forwardOnFakeClock({ endpoints: 8, timeoutMs: 10_000, ...options })
  await harness.clock.advanceAsync(0)
  for (let index = 0; index < 5; index++) {
    harness.sent[index].respond(421)
    await harness.clock.advanceAsync(0)
  }
  expect(harness.sent).toHaveLength(6)
  return harness
}

describe('an unresponsive endpoint at the last allowed send', () => {
  // Guards against aborting a slow response although the request may not be sent to another endpoint.
  it('is not timed out for a lookup', async () => {
    const { clock, sent, client } = await atLastSend({})
    await clock.advanceAsync(1000)
    sent[5].respond(200)
    expect(client).toMatchObject({ status: 200, body: 'ok' })
  })

  it('is not timed out for a stream', async () => {
    const { clock, sent, client } = await atLastSend({ kind: 'stream' })
    sent[5].event(1)
    await clock.advanceAsync(1000)
    sent[5].event(2)
    sent[5].endEvents()
    expect(client).toMatchObject({ ended: true, destroyed: false })
  })
})

describe('an endpoint to which no connection is made in time', () => {
  // Guards against counting a request that never reached the endpoint as one that the endpoint may have run.
  it.each<ForwardHarnessOptions['kind']>(['idempotent', 'stream'])('does not use up an attempt of the route (%s)', async kind => {
    const { clock, sent, client } = forwardOnFakeClock({ kind, endpoints: 3, maxAttempts: 2, timeoutMs: 10_000, onSend: ({ endpoint }) => endpoint !== 'e1' })
    await clock.advanceAsync(350)
    sent[1].reset()
    await clock.advanceAsync(0)
    sent[2].respond(200)
    expect(client).toMatchObject({ status: 200, body: 'ok' })
  })

  it('does not prevent a response that the request has not run', async () => {
    const { clock, sent, client } = forwardOnFakeClock({ endpoints: 2, onSend: ({ endpoint }) => endpoint !== 'e1' })
    await clock.advanceAsync(350)
    sent[1].respond(421)
    await clock.advanceAsync(0)
    expect(client.status).toBe(503)
  })
})
