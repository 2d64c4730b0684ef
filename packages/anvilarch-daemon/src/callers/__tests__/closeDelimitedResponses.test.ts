import { connect, type Socket } from 'node:net'
import { watchConnectionEnd } from 'anvilarch-utils'
import { type AgentHarness, startAgentHarness } from '../../agent/__fixtures__/agentHarness'
import { type RawServer, startRawServer } from '../../agent/__fixtures__/rawServer'
import { startTestGateway, type TestGateway } from '../../attempts/__fixtures__/testGateway'

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n'
const BODY = 'the whole body'
/** More than the gateway buffers, so that it has sent a part before the response ends. */
const LARGE = 'x'.repeat(300_000)

/** Method, path and further headers of a call. */
const CALLS: Record<string, string[]> = {
  'that may be repeated': ['GET', '/services/names/names/a', ''],
  'that may not be repeated': ['POST', '/services/names/names/a/reservations', ''],
  'with a key': ['POST', '/services/names/names/a/reservations', 'idempotency-key: k\r\n']
}
const VERSIONS = ['1.0', '1.1']
const CASES = Object.keys(CALLS).flatMap(name => VERSIONS.map(version => [name, version]))

beforeAll(() => { jest.spyOn(console, 'error').mockImplementation(() => {}) })

describe('a response without a length, through a gateway and an agent', () => {
  let service: RawServer
  let harness: AgentHarness
  let gateway: TestGateway

  const start = async (onRequest: (socket: Socket, number: number) => void): Promise<void> => {
    service = await startRawServer(onRequest)
    harness = await startAgentHarness({
      endpoints: [{ name: 'plain', kind: 'plain', url: service.url, service: 'names' }],
      options: { probeIntervalMs: 60_000 }
    })
    gateway = await startTestGateway({ agents: [{ name: 'a1', kind: 'plain' }] })
    const [{ view }] = gateway.agents
    const [endpoint] = view.endpoints
    Object.assign(view, { address: harness.agent.address, incarnation: harness.incarnation, endpoints: [{ ...endpoint, endpoint: 'plain' }] })
  }

  /** @returns what a caller reads, and whether its connection was closed in order */
  const call = async (name: string, version: string): Promise<{ status: string, body: string, end: string }> => {
    const [method, path, headers] = CALLS[name]
    const socket = connect(Number(gateway.callers.address.split(':')[1]), '127.0.0.1')
    socket.write(`${method} ${path} HTTP/${version}\r\nhost: x\r\nconnection: close\r\n${headers}content-length: 0\r\n\r\n`)
    let text = ''
    socket.on('data', data => { text += data.toString('latin1') })
    socket.on('error', () => {})
    const end = await new Promise<string>(resolve => { watchConnectionEnd(socket, resolve) })
    const bodyAt = text.indexOf('\r\n\r\n') + 4
    return { status: text.slice(9, 12), body: text.slice(bodyAt), end }
  }

  afterEach(async () => {
    await gateway.stop()
    await harness.stop()
    await service.close()
    expect(harness.violations).toEqual([])
  })

  it.each(CASES)('reaches the caller whole after an orderly close: a call %s, HTTP/%s', async (name, version) => {
    await start(socket => { socket.end(HEAD + BODY) })
    const { status, body, end } = await call(name, version)
    expect([status, end]).toEqual(['200', 'closed'])
    const chunked = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`
    expect([BODY, chunked]).toContain(body)
    expect(service.requests).toHaveLength(1)
  })

  it.each(CASES)('is no success after a reset: a call %s, HTTP/%s', async (name, version) => {
    await start(socket => {
      socket.write(HEAD + BODY)
      socket.resetAndDestroy()
    })
    const { status } = await call(name, version)
    expect(status).toMatch(/^50[0-9]$/)
    if (name !== 'that may be repeated') expect(service.requests).toHaveLength(1)
  })

  // Guards against a truncated response that looks complete, once the gateway has forwarded a part of it.
  it.each(CASES)('does not look complete if it is reset when a part was forwarded: a call %s, HTTP/%s', async (name, version) => {
    await start(socket => { socket.write(HEAD + LARGE, () => { setTimeout(() => { socket.resetAndDestroy() }, 100) }) })
    const { status, body, end } = await call(name, version)
    const looksComplete = status === '200' && (version === '1.0' ? end === 'closed' : body.endsWith('0\r\n\r\n'))
    expect(looksComplete).toBe(false)
  })
})
