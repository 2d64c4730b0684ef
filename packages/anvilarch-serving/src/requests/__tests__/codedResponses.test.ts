import { forwardOnFakeClock, SIGNED_HEADERS } from '../__fixtures__/forwardHarness'

describe('a response with a transfer coding', () => {
  async function statusAfter (coding: string, end: 'closed' | 'complete'): Promise<number | undefined> {
    const { clock, sent: [request], client } = await sentRequest()
    request.exchange.onHeaders(200, [...SIGNED_HEADERS, 'transfer-encoding', coding].map(text => Buffer.from(text)))
    request.exchange.onData(Buffer.from('body'))
    if (end === 'closed') request.endConnection('closed')
    else request.exchange.onComplete()
    await clock.advanceAsync(0)
    return client.status
  }

  async function sentRequest (): Promise<ReturnType<typeof forwardOnFakeClock>> {
    const harness = forwardOnFakeClock({ endpoints: 1 })
    await harness.clock.advanceAsync(0)
    return harness
  }

  // Guards against a coded body that is forwarded without the header that names its coding.
  it.each([['gzip', 'closed'], ['chunked, gzip', 'closed'], ['xchunked', 'closed'], ['gzip, chunked', 'complete']] as const)('is not forwarded: %s', async (coding, end) => {
    expect(await statusAfter(coding, end)).toBe(502)
  })

  it.each([['chunked', 'complete'], ['Chunked ', 'complete'], ['identity', 'closed'], ['', 'closed']] as const)('is forwarded if its body is not coded: "%s"', async (coding, end) => {
    expect(await statusAfter(coding, end)).toBe(200)
  })
})
