import { createSystemClock } from 'anvilarch-utils'
import { startRawServer } from '../../agent/__fixtures__/rawServer'
import { createMetrics } from '../../metrics/createMetrics'
import { createHttpCaller } from '../http/httpCaller'
import { createObjectPort } from '../http/objectPort'

const RANGE = { fromByte: 0, toByte: 3 }

/** Reads an object from a store that answers so and then ends the connection. */
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
  // Guards against this: a job runs on the first part of its items, or its results lack their end.
  it.each([
    ['that ends with its connection', 'HTTP/1.1 200 OK\r\n\r\nhalf', undefined],
    ['of which a part came unasked', 'HTTP/1.1 206 Partial Content\r\ncontent-length: 4\r\n\r\nhalf', undefined],
    ['that came whole where a part was asked for', 'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nboth all', RANGE]
  ])('is not taken for the wanted one: %s', async (_name, bytes, range) => {
    await expect(getFrom(bytes, range)).rejects.toMatchObject({ code: 'platform_unavailable', step: 'platform.objects.get' })
  })

  it('is taken with a length, in chunks and as the part that was asked for', async () => {
    expect(await getFrom('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull')).toBe('full')
    expect(await getFrom('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n')).toBe('full')
    expect(await getFrom('HTTP/1.1 206 Partial Content\r\ncontent-length: 4\r\n\r\npart', RANGE)).toBe('part')
  })
})
