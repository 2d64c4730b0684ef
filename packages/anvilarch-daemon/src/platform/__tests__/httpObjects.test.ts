import { createSystemClock } from 'anvilarch-utils'
import { startRawServer } from '../../agent/__fixtures__/rawServer'
import { createMetrics } from '../../metrics/createMetrics'
import { createHttpCaller } from '../http/httpCaller'
import { createObjectPort } from '../http/objectPort'

const RANGE = { fromByte: 0, toByte: 3 }

/** Reads an object from a store that sends the given bytes and then closes the connection. */
async function getFrom (bytes: string, range?: typeof RANGE): Promise<string | undefined> {
  const server = await startRawServer(socket => { socket.end(bytes) })
  const caller = createHttpCaller({ service: 'objects', baseUrl: server.url, timeoutMs: 5000, clock: createSystemClock(), metrics: createMetrics() })
  try {
    const body = await createObjectPort(caller).get('a', range)
    return body === null ? undefined : Buffer.from(body).toString()
  } finally {
    await caller.close()
    await server.close()
  }
}

describe('an object over HTTP', () => {
  // Guards against a job that runs only the first part of its items, or whose results are truncated.
  it.each([
    ['a close-delimited response', 'HTTP/1.1 200 OK\r\n\r\nhalf', undefined],
    ['a partial response that was not requested', 'HTTP/1.1 206 Partial Content\r\ncontent-length: 4\r\n\r\nhalf', undefined],
    ['a complete response to a range request', 'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nboth all', RANGE]
  ])('is rejected: %s', async (_name, bytes, range) => {
    await expect(getFrom(bytes, range)).rejects.toMatchObject({ code: 'platform_unavailable', step: 'platform.objects.get' })
  })

  it('is accepted with a length, with chunks and as the requested range', async () => {
    expect(await getFrom('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull')).toBe('full')
    expect(await getFrom('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n')).toBe('full')
    expect(await getFrom('HTTP/1.1 206 Partial Content\r\ncontent-length: 4\r\n\r\npart', RANGE)).toBe('part')
  })
})
