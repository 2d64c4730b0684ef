import { request as httpRequest, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { chatEvents } from '../../attempts/__fixtures__/fakeAgent'
import { createMemoryTable } from '../../attempts/__fixtures__/memoryTable'
import { startTestGateway, type TestGateway, type TestGatewayOptions } from '../../attempts/__fixtures__/testGateway'
import { TEST_DOCUMENT } from '../../attempts/__fixtures__/testContext'

let gateway: TestGateway
const start = async (options: Partial<TestGatewayOptions> = {}): Promise<void> => { gateway = await startTestGateway({ agents: [{ name: 'a1' }], ...options }) }
beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })
afterEach(async () => { await gateway.stop() })

interface ErrorDetails { code: string, message: string, ran: string, request_id: string }
const errorOf = async (response: Response): Promise<ErrorDetails> => ((await response.json()) as { error: ErrorDetails }).error
const post = async (path: string, body: string, headers: Record<string, string> = {}): Promise<Response> => await fetch(`${gateway.url}${path}`, { method: 'POST', body, headers })
const chat = JSON.stringify({ model: 'writer', messages: [{ role: 'user', content: 'x' }] })
const until = async (condition: () => boolean): Promise<void> => {
  for (let tries = 0; !condition(); tries++) {
    if (tries > 1_000) throw new Error(`condition not met: ${condition.toString()}`)
    await new Promise(resolve => { setTimeout(resolve, 5) })
  }
}
const lookup = async (headers: Record<string, string> = {}): Promise<Response> => await fetch(`${gateway.url}/services/names/names/a`, { headers })

describe('invalid input', () => {
  const cases: Array<[string, string, string, Record<string, string>, number, RegExp]> = [
    ['malformed JSON', '/v1/chat/completions', '{"model": "writer",\n "messages": [}', {}, 400, /line 2, column 15/],
    ['an empty body', '/v1/chat/completions', '', {}, 400, /empty/],
    ['a body that is not an object', '/v1/chat/completions', '[]', {}, 400, /JSON object/],
    ['no messages', '/v1/chat/completions', '{"model": "writer"}', {}, 400, /"messages".*found nothing/],
    ['a message without a role', '/v1/chat/completions', '{"model": "writer", "messages": [{}]}', {}, 400, /messages\[0\]\.role/],
    ['no prompt', '/v1/completions', '{"model": "writer"}', {}, 400, /"prompt"/],
    ['an unknown model', '/v1/completions', '{"model": "larg", "prompt": "x"}', {}, 404, /did you mean "large"/],
    ['a deadline out of range', '/v1/chat/completions', chat, { 'x-deadline-ms': '0' }, 400, /"X-Deadline-Ms" holds "0"; expected a whole number from 1/],
    ['a request id with spaces', '/v1/chat/completions', chat, { 'x-request-id': 'a b' }, 400, /X-Request-Id/],
    ['batch work on an online route', '/v1/chat/completions', chat, { 'x-work-class': 'batch' }, 400, /\/v1\/batches/],
    ['an unsupported authorization scheme', '/v1/chat/completions', chat, { authorization: 'Basic eDp5' }, 401, /Bearer/],
    ['an unknown plain service', '/services/nams/names/a', '', {}, 404, /did you mean "names"/],
    ['an unknown path of a service', '/services/names/nowhere', '', {}, 404, /its routes are GET \/names\/:name/],
    ['an unknown path', '/v2/chat', '', {}, 404, /nothing is served at "\/v2\/chat"/]
  ]

  it.each(cases)('is reported with its cause: %s', async (_name, path, body, headers, status, message) => {
    await start()
    const response = await post(path, body, headers)
    expect(response.status).toBe(status)
    expect(await errorOf(response)).toMatchObject({ message: expect.stringMatching(message), ran: 'not_run', request_id: expect.any(String) })
    expect(gateway.agents[0].starts).toEqual([])
  })

  it('lists the methods of a path', async () => {
    await start()
    const wrong = await fetch(`${gateway.url}/v1/chat/completions`)
    expect([wrong.status, wrong.headers.get('allow')]).toEqual([405, 'POST'])
    const plain = await post('/services/names/names/a', '')
    expect([plain.status, plain.headers.get('allow')]).toEqual([405, 'GET'])
  })

  it('stops reading a body at the limit and responds with the reason', async () => {
    await start({ document: { ...TEST_DOCUMENT, limits: { ...TEST_DOCUMENT.limits, maxBodyBytes: 10_000 } } })
    const announced = await post('/v1/chat/completions', 'x'.repeat(20_000))
    expect([announced.status, (await errorOf(announced)).message]).toEqual([413, expect.stringContaining('20000 bytes were announced')])
    const response = await new Promise<IncomingMessage>((resolve, reject) => {
      const request = httpRequest(`${gateway.url}/v1/chat/completions`, { method: 'POST' }, resolve)
      request.on('error', reject)
      for (let sent = 0; sent < 20; sent++) request.write('x'.repeat(1_000))
    })
    expect(response.statusCode).toBe(413)
    response.destroy()
  })

  it('lets a caller that is still writing read the error response', async () => {
    // Guards against a connection reset that prevents the caller from reading the status.
    await start({ document: { ...TEST_DOCUMENT, limits: { ...TEST_DOCUMENT.limits, maxBodyBytes: 10_000 } } })
    const socket = connect(Number(gateway.callers.address.split(':')[1]), '127.0.0.1')
    socket.on('error', () => {})
    let text = ''
    socket.write('POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 3000000\r\n\r\n')
    for (let sent = 0; sent < 30; sent++) {
      socket.write(Buffer.alloc(100_000, 'x'))
      await new Promise(resolve => { setImmediate(resolve) })
    }
    socket.on('data', data => { text += data.toString() })
    await until(() => socket.destroyed || text.includes('announced'))
    expect(text).toMatch(/^HTTP\/1.1 413/)
    socket.destroy()
  })

  it('responds to a truncated upload', async () => {
    await start()
    const socket = connect(Number(gateway.callers.address.split(':')[1]), '127.0.0.1')
    let text = ''
    socket.on('data', data => { text += data.toString() })
    socket.end('POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{"model"')
    await new Promise(resolve => { socket.on('close', resolve) })
    expect(text).toMatch(/^HTTP\/1.1 400/)
    expect(text).toMatch(/cut off/)
  })

  it('responds to headers that are too large', async () => {
    await start()
    const response = await lookup({ 'x-large': 'x'.repeat(20_000) })
    expect(response.status).toBe(431)
  })
})

describe('readiness', () => {
  it('is denied before any configuration is in force', async () => {
    await start({ document: undefined })
    const response = await post('/v1/chat/completions', chat)
    expect([response.status, response.headers.get('retry-after')]).toEqual([503, '1'])
    expect(await errorOf(response)).toMatchObject({ code: 'not_ready', ran: 'not_run' })
  })
})

describe('request ids', () => {
  it('are returned if given, and generated otherwise', async () => {
    await start()
    expect((await lookup({ 'x-request-id': 'mine-1' })).headers.get('x-request-id')).toBe('mine-1')
    expect((await lookup()).headers.get('x-request-id')).toMatch(/^req-/)
    expect(gateway.agents[0].executions[0]).toBe('mine-1')
  })
})

describe('limits', () => {
  const limited = (limits: object): Partial<TestGatewayOptions> => ({ document: { ...TEST_DOCUMENT, defaultCaller: { ...TEST_DOCUMENT.defaultCaller, ...limits } } })

  it('reject requests of a caller that floods, and of no other caller', async () => {
    // Guards against a burst of one account that slows down all callers.
    await start(limited({ requestsPerSecond: 0.001, burst: 3 }))
    const statuses = []
    for (let sent = 0; sent < 5; sent++) statuses.push((await lookup({ authorization: 'Bearer flood' })).status)
    expect(statuses).toEqual([200, 200, 200, 429, 429])
    const refused = await lookup({ authorization: 'Bearer flood' })
    expect(Number(refused.headers.get('retry-after'))).toBeGreaterThan(0)
    expect(await errorOf(refused)).toMatchObject({ code: 'rate_limited', ran: 'not_run', message: expect.stringContaining('key-') })
    expect((await lookup({ authorization: 'Bearer other' })).status).toBe(200)
  })

  it('limit the requests in progress of one caller and of all callers together', async () => {
    await start({ agents: [{ name: 'a1', kind: 'model', hold: true, answer: () => ['{}', ' '] }], gateway: { maxConcurrentRequests: 2 }, ...limited({ maxConcurrent: 1 }) })
    const sendChat = async (key: string): Promise<Response> => await post('/v1/chat/completions', chat, { authorization: `Bearer ${key}` })
    const first = sendChat('one')
    await until(() => gateway.agents[0].executions.length === 1)
    expect((await sendChat('one')).status).toBe(429)
    const second = sendChat('two')
    await until(() => gateway.agents[0].executions.length === 2)
    expect((await sendChat('three')).status).toBe(503)
    gateway.agents[0].release()
    expect([(await first).status, (await second).status]).toEqual([200, 200])
    expect((await sendChat('one')).status).toBe(200)
  })
})

describe('a caller that does not read', () => {
  it('is disconnected after a timeout, and its attempt is cancelled', async () => {
    // Guards against slots of an endpoint that stay occupied by callers that read nothing.
    const endless = Array.from({ length: 400 }, () => chatEvents(['x'.repeat(50_000)])[1])
    await start({ agents: [{ name: 'a1', kind: 'model', answer: () => endless }], front: { stallMs: 100 } })
    const socket = connect(Number(gateway.callers.address.split(':')[1]), '127.0.0.1')
    const body = chat.replace('{', '{"stream":true,')
    socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    socket.pause()
    await until(() => gateway.agents[0].cancelled.length === 1)
    socket.destroy()
    await until(() => gateway.callers.inProgress() === 0)
  })
})

describe('graceful shutdown', () => {
  it('completes a stream in progress and closes connections after their next response', async () => {
    await start({ agents: [{ name: 'a1', kind: 'model', hold: true, answer: () => chatEvents(['a', 'b']) }, { name: 'a2' }], front: { readinessLeadMs: 1_000 }, gateway: { drainTimeoutMs: 600_000 } })
    const streaming = await post('/v1/chat/completions', chat.replace('{', '{"stream":true,'))
    const drained = gateway.callers.drain()
    expect(gateway.callers.state()).toBe('draining')
    const during = await lookup()
    expect([during.status, during.headers.get('connection')]).toEqual([200, 'close'])
    while (await lookup().then(() => true, () => false));
    gateway.agents[0].release()
    expect(await streaming.text()).toMatch(/\[DONE\]/)
    await drained
  })

  it('does not wait for unused connections', async () => {
    // Guards against a drain that waits for its full timeout although no request is in progress.
    await start({ gateway: { drainTimeoutMs: 600_000 } })
    const unused = connect(Number(gateway.callers.address.split(':')[1]), '127.0.0.1')
    await new Promise(resolve => { unused.on('connect', resolve) })
    expect((await lookup()).status).toBe(200)
    await gateway.callers.drain()
    expect(gateway.callers.state()).toBe('draining')
  })
})

describe('Idempotency-Key', () => {
  const reserve = async (body: string, key = 'k1'): Promise<Response> => await post('/services/names/names/a/reservations', body, { 'idempotency-key': key })

  it('runs a call once, and replays the recorded response to a retry', async () => {
    const table = createMemoryTable()
    await start({ platform: { table: table.port } })
    const first = await reserve('{"for": 1}')
    await until(() => [...table.rows.values()].some(row => row.value.includes('"end"')))
    const again = await reserve('{"for": 1}')
    expect([first.status, again.status, again.headers.get('idempotent-replayed')]).toEqual([200, 200, 'true'])
    expect(await again.text()).toBe(await first.text())
    expect((await reserve('{"for": 2}')).status).toBe(409)
    expect(gateway.agents[0].executions).toHaveLength(1)
  })

  it('is rejected as not run while the table is unavailable', async () => {
    const table = createMemoryTable()
    table.faults.down = true
    await start({ platform: { table: table.port } })
    const response = await reserve('{}')
    expect([response.status, response.headers.get('retry-after')]).toEqual([503, '2'])
    expect(await errorOf(response)).toMatchObject({ code: 'platform_unavailable', ran: 'not_run' })
    expect(gateway.agents[0].starts).toEqual([])
    expect((await lookup()).status).toBe(200)
    table.faults.down = false
  })
})
