import type { Socket } from 'node:net'
import { createSystemClock } from 'anvilarch-utils'
import { type RawServer, startRawServer, COMPLETE_RESPONSE } from '../__fixtures__/rawServer'
import { createEndpointConnections, type EndpointConnections } from '../endpoints/connections'
import { startPlainRun } from '../endpoints/plainRun'
import type { EndpointRun, RunEnd } from '../endpoints/types'

const IDLE_MS = 1000

describe('startPlainRun', () => {
  let server: RawServer
  let connections: EndpointConnections
  let headCount: number

  const start = async (onRequest: (socket: Socket, number: number) => void): Promise<void> => {
    server = await startRawServer(onRequest)
    connections = createEndpointConnections(server.url)
    headCount = 0
  }

  const run = (given: { method?: string, idempotent?: boolean, onCheck?: (run: EndpointRun) => void } = {}): EndpointRun => {
    const { method = 'GET', idempotent = false, onCheck = () => {} } = given
    const clock = createSystemClock()
    const call = { method, path: '/names/a', headers: {}, body: new Uint8Array(0) }
    const checkProcess = async (): Promise<'alive'> => {
      onCheck(started)
      return 'alive'
    }
    const deps = { connections, clock, basePath: '', idleTimeoutMs: 100, onUnreachable: () => {}, checkProcess }
    const started = startPlainRun(deps, { requestId: 'r', attemptId: 'a', workClass: 'lookup', idempotent, outputMode: 'raw', call }, {
      onHead: () => { headCount++ }, onOutput: () => true, onToken: () => {}, onResumed: () => {}
    })
    return started
  }

  const runAgainst = async (bytes: string, given: { method?: string, idempotent?: boolean } = {}): Promise<RunEnd> => {
    await start(socket => { socket.end(bytes) })
    return await run(given).done
  }

  afterEach(async () => {
    await connections.close()
    await server.close()
  })

  // Guards against a race between the process check after the first send and the tick that sends the call again. It made
  // about one in forty idempotent calls to a service that resets connections fail, although the second send would have succeeded.
  it('does not fail after its first send when the tick has sent the call again in the meantime', async () => {
    await start((socket, number) => {
      if (number === 0) socket.destroy()
      else setTimeout(() => { socket.write(COMPLETE_RESPONSE) }, 20)
    })
    const started = run({ idempotent: true, onCheck: checked => { checked.checkTimeout(createSystemClock().nowMs() + IDLE_MS) } })
    expect(await started.done).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(server.requests).toHaveLength(2)
  })

  // Guards against a truncated response being taken for a complete one, since both end with the connection.
  it.each([true, false])('rejects a response delimited by the end of its connection, if the connection breaks, when idempotent is %s', async idempotent => {
    await start(socket => { socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => { setTimeout(() => { socket.resetAndDestroy() }, 2) }) })
    expect(await run({ idempotent }).done).toMatchObject({ outcome: 'endpoint_failed', ran: 'unknown' })
  })

  // Guards against transfer codings that do not delimit the body being taken for framing.
  it.each(['gzip', 'chunked, gzip', 'gzip\r\ntransfer-encoding: xchunked'])('rejects a response with the transfer codings %j', async codings => {
    expect(await runAgainst(`HTTP/1.1 200 OK\r\ntransfer-encoding: ${codings}\r\n\r\nhalf`)).toMatchObject({ outcome: 'endpoint_failed', ran: 'unknown' })
    expect(headCount).toBe(0)
  })

  it.each([
    ['a status without a body', 'GET', 'HTTP/1.1 204 No Content\r\n\r\n'],
    ['a 304 with the length of the body that it leaves out', 'GET', 'HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n'],
    ['the response to a HEAD request', 'HEAD', 'HTTP/1.1 200 OK\r\n\r\n'],
    ['a chunked response', 'GET', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n']
  ])('accepts %s as complete', async (_name, method, bytes) => {
    expect(await runAgainst(bytes, { method })).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(headCount).toBe(1)
  })
})
