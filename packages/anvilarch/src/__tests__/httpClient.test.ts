import { createServer, type AddressInfo, type Server } from 'node:net'
import { type FakeGateway, startFakeGateway } from '../__fixtures__/fakeGateway'
import { createHttpClient, type HttpCall } from '../gateway/httpClient'

const READ: HttpCall = { method: 'GET', path: '/admin/v1/services', step: 'services.list', isRepeatable: true }
const WRITE: HttpCall = { ...READ, method: 'POST', path: '/admin/v1/agents/agent-1/drain', isRepeatable: false }

let unresponsive: FakeGateway
let healthy: FakeGateway

beforeEach(async () => {
  unresponsive = await startFakeGateway('')
  healthy = await startFakeGateway('')
  unresponsive.state.isUnresponsive = true
})

afterEach(async () => {
  await unresponsive.close()
  await healthy.close()
})

const createClient = () => createHttpClient({ gatewayUrls: [unresponsive.url, healthy.url], connectTimeoutMs: 1000, responseTimeoutMs: 50 })

describe('createHttpClient', () => {
  // Guards against commands that each wait out the timeout of a gateway that accepts connections but never responds, up to a minute.
  it('tries the next gateway if one accepts the connection and never responds, and starts with it from then on', async () => {
    const client = createClient()
    await expect(client.json(READ)).resolves.toMatchObject({ services: [{ name: 'lookup' }] })
    await expect(client.json(READ)).resolves.toBeDefined()
    await client.close()
    expect(unresponsive.state.requests).toHaveLength(1)
  })

  it('does not repeat a call that may have taken effect', async () => {
    const client = createClient()
    await expect(client.json(WRITE)).rejects.toMatchObject({ ran: 'unknown', code: 'outcome_unknown', peer: unresponsive.url })
    await client.close()
    expect(healthy.state.requests).toEqual([])
  })
})

describe('a file from a gateway', () => {
  let server: Server
  afterEach(() => { server.close() })

  /** Reads a file from a gateway that sends the given bytes and then closes the connection. */
  const readFrom = async (bytes: string): Promise<string> => {
    server = createServer(socket => { socket.once('data', () => { socket.end(bytes) }) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const client = createHttpClient({ gatewayUrls: [`http://127.0.0.1:${(server.address() as AddressInfo).port}`], connectTimeoutMs: 1000, responseTimeoutMs: 1000 })
    try {
      const { body } = await client.stream({ ...READ, path: '/v1/files/f/content', step: 'jobs.results' })
      return Buffer.concat(await body.toArray()).toString()
    } finally {
      await client.close()
    }
  }

  // Guards against an incomplete results file under its final name.
  it('is rejected as incomplete if it ends only with its connection', async () => {
    await expect(readFrom('HTTP/1.1 200 OK\r\n\r\n{"line":1}\n')).rejects.toMatchObject({ code: 'unavailable', exit: 'unreachable', step: 'jobs.results' })
  })

  // Guards against a login page or a partial response that is saved as a results file.
  it.each([
    ['302 Found', 'location: /\r\ncontent-length: 5\r\n\r\nlogin'],
    ['206 Partial Content', 'content-length: 4\r\n\r\npart'],
    ['204 No Content', '\r\n']
  ])('is not accepted with status %s', async (status, rest) => {
    await expect(readFrom(`HTTP/1.1 ${status}\r\n${rest}`)).rejects.toMatchObject({ code: 'internal', exit: 'failed', step: 'jobs.results' })
  })

  it('is accepted with a content length and with chunked encoding', async () => {
    expect(await readFrom('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull')).toBe('full')
    server.close()
    expect(await readFrom('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n')).toBe('full')
  })
})
