import type { Socket } from 'node:net'
import { type AgentHarness, type ReadAttempt, readFrames, type StartFields, startAgentHarness, startMessage, waitUntil } from '../__fixtures__/agentHarness'
import { type RawServer, startRawServer, COMPLETE_RESPONSE } from '../__fixtures__/rawServer'

describe('an agent with a plain service', () => {
  let server: RawServer
  let harness: AgentHarness

  const start = async (onRequest: (socket: Socket, number: number) => void): Promise<void> => {
    server = await startRawServer(onRequest)
    // Probes open connections without a request; the long interval prevents them during the test.
    harness = await startAgentHarness({
      endpoints: [{ name: 'plain', kind: 'plain', url: server.url, service: 'lookup' }],
      agent: { endpointSilenceMs: 100 },
      options: { probeIntervalMs: 60_000 }
    })
  }

  const call = async (fields: StartFields): Promise<ReadAttempt> => {
    const message = startMessage({ endpoint: 'plain', service: 'lookup', workClass: 'lookup', method: 'POST', path: '/orders', outputMode: 'raw', ...fields })
    return await readFrames(harness.client.startAttempt(message))
  }

  afterEach(async () => {
    await harness.stop()
    await server.close()
    expect(harness.violations).toEqual([])
  })

  // Guards against a caller that receives "not run", repeats an order, and pays twice.
  it.each([
    ['before the response', (socket: Socket) => { socket.destroy() }],
    ['in the middle of the response', (socket: Socket) => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf', () => { socket.destroy() }) }]
  ])('sends a non-idempotent call once, and reports unknown when the connection is closed %s', async (_, cut) => {
    await start(cut)
    const read = await call({ attemptId: 'once', idempotent: false })
    expect(read.final).toMatchObject({ outcome: 'endpoint_failed', ran: 'unknown' })
    expect(server.requests).toEqual(['POST /orders HTTP/1.1'])
  })

  // Guards against a call that runs twice.
  it('uses a dedicated connection for each non-idempotent call', async () => {
    const sockets = new Set<Socket>()
    await start(socket => {
      sockets.add(socket)
      socket.write(COMPLETE_RESPONSE)
    })
    for (const attemptId of ['a', 'b', 'c']) {
      expect((await call({ attemptId, idempotent: false })).final).toMatchObject({ outcome: 'completed', ran: 'ran' })
    }
    expect(sockets.size).toBe(3)
  })

  it('waits for the response to a non-idempotent call until its deadline, and then reports unknown', async () => {
    await start(() => {})
    const read = await call({ attemptId: 'silent', idempotent: false, remainingMs: 400 })
    expect(read.final).toMatchObject({ outcome: 'deadline', ran: 'unknown' })
    expect(server.requests).toHaveLength(1)
  })

  it('reports not_run when the connection is refused before anything was sent', async () => {
    await start(() => {})
    await server.close()
    const read = await call({ attemptId: 'refused', idempotent: false })
    expect(read.final).toMatchObject({ outcome: 'endpoint_failed', ran: 'not_run' })
    await waitUntil(() => harness.agent.state().endpoints[0].health === 'crashed')
    expect((await call({ attemptId: 'later', idempotent: false })).refused?.reason).toBe('endpoint_down')
  })

  it('sends an idempotent call again over a new connection when a keep-alive connection was reset', async () => {
    await start((socket, number) => {
      if (number === 1) socket.destroy()
      else socket.write(COMPLETE_RESPONSE)
    })
    expect((await call({ attemptId: 'first' })).final?.outcome).toBe('completed')
    expect((await call({ attemptId: 'second' })).final?.outcome).toBe('completed')
    expect(server.requests).toHaveLength(3)
  })

  // Guards against a lookup waiting until its deadline although the service works.
  it('sends an idempotent call again in parallel to one without a response, and uses the first response', async () => {
    await start((socket, number) => { if (number !== 0) socket.write(COMPLETE_RESPONSE) })
    const read = await call({ attemptId: 'a' })
    expect(read.output.toString()).toBe('ok')
    expect(server.requests).toHaveLength(2)
    expect(harness.events('a')).toContain('attempts.resumed')
  })

  it('ends a call as crashed when the service exits during the call', async () => {
    await start(socket => {
      server.close().catch(() => {})
      socket.destroy()
    })
    expect((await call({ attemptId: 'deadly' })).final).toMatchObject({ outcome: 'endpoint_crashed', wasAlone: true })
  })
})
