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
  let heads: number

  const start = async (onRequest: (socket: Socket, number: number) => void): Promise<void> => {
    server = await startRawServer(onRequest)
    connections = createEndpointConnections(server.url)
    heads = 0
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
      onHead: () => { heads++ }, onOutput: () => true, onToken: () => {}, onResumed: () => {}
    })
    return started
  }

  const answer = async (bytes: string, given: { method?: string, idempotent?: boolean } = {}): Promise<RunEnd> => {
    await start(socket => { socket.end(bytes) })
    return await run(given).done
  }

  afterEach(async () => {
    await connections.close()
    await server.close()
  })

  // Guards against this: about one idempotent call in forty to a service that resets connections failed, though its second try would have been answered.
  it('is not given up by the judgement on its first try while the tick has sent it again', async () => {
    await start((socket, number) => {
      if (number === 0) socket.destroy()
      else setTimeout(() => { socket.write(COMPLETE_RESPONSE) }, 20)
    })
    const started = run({ idempotent: true, onCheck: checked => { checked.checkTimeout(createSystemClock().nowMs() + IDLE_MS) } })
    expect(await started.done).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(server.requests).toHaveLength(2)
  })

  // Guards against this: a caller takes an answer that was cut for the whole one, since both end with the connection.
  it.each([true, false])('does not take an answer that ends with its connection, nor pass on its head, when idempotent is %s', async idempotent => {
    expect(await answer('HTTP/1.1 200 OK\r\n\r\nhalf', { idempotent })).toMatchObject({ outcome: 'endpoint_failed', ran: 'unknown' })
    expect(heads).toBe(0)
  })

  // Guards against this: a coding that says nothing of the end passes for a frame.
  it.each(['gzip', 'chunked, gzip', 'gzip\r\ntransfer-encoding: xchunked'])('does not take an answer for whole whose codings are %j', async codings => {
    expect(await answer(`HTTP/1.1 200 OK\r\ntransfer-encoding: ${codings}\r\n\r\nhalf`)).toMatchObject({ outcome: 'endpoint_failed', ran: 'unknown' })
    expect(heads).toBe(0)
  })

  it.each([
    ['a status without a body', 'GET', 'HTTP/1.1 204 No Content\r\n\r\n'],
    ['the answer to a HEAD', 'HEAD', 'HTTP/1.1 200 OK\r\n\r\n'],
    ['an answer in chunks', 'GET', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n']
  ])('takes %s for whole without a length', async (_name, method, bytes) => {
    expect(await answer(bytes, { method })).toMatchObject({ outcome: 'completed', ran: 'ran' })
    expect(heads).toBe(1)
  })
})
