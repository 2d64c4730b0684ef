import { once } from 'node:events'
import { type ClientHttp2Session, createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { createSessionManager } from '../sessionManager'

const LIMITS = { idleMs: 60_000, streamWindowBytes: 65_536, connectionWindowBytes: 1_048_576 }

describe('a session', () => {
  let server: Http2Server
  let serverSession: ServerHttp2Session | undefined

  afterEach(async () => {
    serverSession?.destroy()
    await new Promise(resolve => server.close(resolve))
  })

  // Guards against a gateway that ends by an unhandled error of a connection to an agent that drains.
  it('reports an error that comes after the library has abandoned it', async () => {
    server = createServer((_request, response) => { response.end() })
    server.on('session', session => { serverSession = session })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const errors: string[] = []
    const manager = createSessionManager(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, LIMITS, error => { errors.push(error.message) })
    const stream = await manager.request('GET', '/', {}, {})
    const session = stream.session as ClientHttp2Session
    stream.end()
    stream.resume()
    await once(stream, 'close')
    session.once('goaway', () => { manager.abort() })
    const closed = new Promise(resolve => { session.once('close', resolve) })
    serverSession?.goaway()
    await closed
    expect(errors).toEqual([expect.stringContaining('received GOAWAY without any open streams')])
  })
})
