import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { type LinkedPort, startLinkedPort } from 'anvilarch-standins'
import { type ConnectionEnd, createRandom, createSystemClock, type WatchedConnector, watchConnector } from 'anvilarch-utils'
import { buildConnector, type Dispatcher, Pool } from 'undici'

/** How the endpoint ends a response; by a reset together with the last bytes, after them, or after they have been read. */
type Ending = 'close' | 'reset_at_once' | 'reset' | 'late_reset'

/** Result of one request: the body, and how its connection ended if the response was reported as complete. */
interface Result { body: string, end: ConnectionEnd | 'failed' }

const ENDINGS: Readonly<Record<Ending, (socket: Socket, bytes: string) => void>> = {
  close: (socket, bytes) => { socket.end(bytes) },
  reset_at_once: (socket, bytes) => {
    socket.write(bytes)
    socket.resetAndDestroy()
  },
  reset: (socket, bytes) => { socket.write(bytes, () => { setTimeout(() => { socket.resetAndDestroy() }, 2) }) },
  late_reset: (socket, bytes) => { socket.write(bytes, () => { setTimeout(() => { socket.resetAndDestroy() }, 10) }) }
}
const RESETS: readonly Ending[] = ['reset_at_once', 'reset', 'late_reset']

const HEADS: ReadonlyArray<readonly [string, string]> = [
  ['of HTTP/1.1', 'HTTP/1.1 200 OK\r\n\r\n'],
  ['of HTTP/1.0', 'HTTP/1.0 200 OK\r\n\r\n'],
  ['of HTTP/1.0 with Connection: keep-alive', 'HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n'],
  ['with Connection: close', 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'],
  ['with Keep-Alive', 'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\n\r\n'],
  ['after an interim response', 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n']
]
const HEAD = HEADS[0][1]
const BODY = 'the whole body'
const KEPT = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkept'
const REPETITIONS = 20

let server: Server
let onRequest: (socket: Socket, path: string, body: string) => void
let sockets: Set<Socket>
let pools: Pool[]
let links: LinkedPort[]

beforeEach(async () => {
  sockets = new Set()
  pools = []
  links = []
  server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    let text = ''
    socket.on('data', data => {
      text += data.toString('latin1')
      const bodyAt = text.indexOf('\r\n\r\n') + 4
      if (bodyAt < 4) return
      const path = text.split(' ')[1]
      const body = text.slice(bodyAt)
      text = ''
      onRequest(socket, path, body)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
})

afterEach(async () => {
  for (const pool of pools) await pool.destroy()
  for (const link of links) link.close()
  for (const socket of sockets) socket.destroy()
  await new Promise(resolve => { server.close(resolve) })
})

const port = (): number => (server.address() as AddressInfo).port

/** @returns a function that sends a request over a pool of watched connections */
function watchedPool (origin = `http://127.0.0.1:${port()}`, connections: number | null = null): (path: string) => Promise<Result> {
  const { connect, lastEnd } = watchConnector(buildConnector({}) as WatchedConnector<buildConnector.Options>['connect'])
  const pool = new Pool(origin, { connections, pipelining: 1, connect: connect as buildConnector.connector })
  pools.push(pool)
  return async path => await new Promise(resolve => {
    let body = ''
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => {},
      onResponseStart: () => {},
      onResponseData: (_, data) => { body += data.toString() },
      onResponseEnd: () => { resolve({ body, end: lastEnd() }) },
      onResponseError: () => { resolve({ body, end: 'failed' }) }
    }
    pool.dispatch({ method: 'GET', path, headersTimeout: 0, bodyTimeout: 0 }, handler)
  })
}

async function repeat (send: (path: string) => Promise<Result>, path: string): Promise<Result[]> {
  const results: Result[] = []
  for (let count = 0; count < REPETITIONS; count++) results.push(await send(path))
  return results
}

const endsOf = (results: Result[]): string[] => [...new Set(results.map(({ end }) => end))].sort()

describe('the end of a connection that completes a response without a length', () => {
  describe.each(HEADS)('%s', (_name, head) => {
    it('is reported as closed after an orderly close', async () => {
      onRequest = socket => { ENDINGS.close(socket, head + BODY) }
      for (const result of await repeat(watchedPool(), '/')) expect(result).toEqual({ body: BODY, end: 'closed' })
    })

    it.each(RESETS)('is never reported as closed after a %s', async ending => {
      onRequest = socket => { ENDINGS[ending](socket, head + BODY) }
      expect(endsOf(await repeat(watchedPool(), '/'))).not.toContain('closed')
    })

    // Guards against a verdict on an earlier response of the connection.
    it.each<Ending>(['close', ...RESETS])('is that of a kept connection, by a %s after other responses', async ending => {
      const answered = new Map<Socket, number>()
      onRequest = (socket, path) => {
        answered.set(socket, (answered.get(socket) ?? 0) + 1)
        if (path === '/kept') socket.write(KEPT)
        else ENDINGS[ending](socket, head + BODY)
      }
      const send = watchedPool(undefined, 1)
      for (let count = 0; count < REPETITIONS; count++) {
        expect((await send('/kept')).body).toBe('kept')
        expect((await send('/kept')).body).toBe('kept')
        const { body, end } = await send('/')
        if (ending === 'close') expect([body, end]).toEqual([BODY, 'closed'])
        else expect(end).not.toBe('closed')
      }
      expect([...answered.values()]).toEqual(Array(REPETITIONS).fill(3))
    })
  })

  it('is that of a connection to a host name with several addresses', async () => {
    const send = watchedPool(`http://localhost:${port()}`)
    onRequest = (socket, path) => { ENDINGS[path.slice(1) as Ending](socket, HEAD + BODY) }
    expect(endsOf(await repeat(send, '/close'))).toEqual(['closed'])
    for (const ending of RESETS) expect(endsOf(await repeat(send, `/${ending}`))).not.toContain('closed')
  })

  it('is closed after an early response to a long body whose rest the endpoint still reads', async () => {
    onRequest = socket => { ENDINGS.close(socket, HEAD + BODY) }
    const { connect, lastEnd } = watchConnector(buildConnector({}) as WatchedConnector<buildConnector.Options>['connect'])
    const pool = new Pool(`http://127.0.0.1:${port()}`, { connect: connect as buildConnector.connector })
    pools.push(pool)
    const end = await new Promise(resolve => {
      pool.dispatch({ method: 'POST', path: '/', body: Buffer.alloc(8_000_000) }, {
        onRequestStart: () => {}, onResponseStart: () => {}, onResponseData: () => {}, onResponseEnd: () => { resolve(lastEnd()) }, onResponseError: () => { resolve('failed') }
      })
    })
    expect(end).toBe('closed')
  })

  it('does not matter to a chunked response with Connection: close, and is right for the next response', async () => {
    const send = watchedPool()
    const chunked = 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n'
    onRequest = (socket, path) => {
      if (path === '/whole') socket.end(chunked)
      else if (path === '/cut') socket.end(chunked.slice(0, -5))
      else ENDINGS[path.slice(1) as Ending](socket, HEAD + BODY)
    }
    for (let count = 0; count < REPETITIONS; count++) {
      expect((await send('/whole')).body).toBe('full')
      expect((await send('/reset_at_once')).end).not.toBe('closed')
      expect((await send('/cut')).end).toBe('failed')
      expect(await send('/close')).toEqual({ body: BODY, end: 'closed' })
    }
  })

  // Guards against the verdict on another connection of the pool, whose end is handled in the same turn.
  it.each([
    ['with the bytes', true, 'reset_at_once'],
    ['after the bytes', false, 'reset_at_once']
  ] as const)('is that of its own connection, if others of the pool are closed and reset in the same turn, %s', async (_name, withBytes, ending) => {
    const PAIRS_AT_ONCE = 20
    const ROUNDS = 20
    const send = watchedPool()
    const random = createRandom(7)
    let waiting: Array<{ socket: Socket, path: string }> = []
    const endAll = (): void => {
      const all = waiting.map(each => ({ ...each, order: random.next() })).sort((left, right) => left.order - right.order)
      waiting = []
      const bytes = withBytes ? HEAD + BODY : ''
      const endEach = (): void => { for (const { socket, path } of all) ENDINGS[path.startsWith('/close') ? 'close' : ending](socket, bytes) }
      if (withBytes) endEach()
      else {
        for (const { socket } of all) socket.write(HEAD + BODY)
        setTimeout(endEach, 5)
      }
    }
    onRequest = (socket, path) => {
      waiting.push({ socket, path })
      if (waiting.length === 2 * PAIRS_AT_ONCE) endAll()
    }
    let resetAfterCompletion = 0
    for (let round = 0; round < ROUNDS; round++) {
      const pairs = Array.from({ length: PAIRS_AT_ONCE }, async () => await Promise.all([send('/close'), send('/reset')]))
      for (const [closed, reset] of await Promise.all(pairs)) {
        expect(closed).toEqual({ body: BODY, end: 'closed' })
        expect(reset.end).not.toBe('closed')
        if (reset.end === 'broken') resetAfterCompletion++
      }
    }
    // Without the watch, these would look complete.
    expect(resetAfterCompletion).toBeGreaterThan(PAIRS_AT_ONCE)
  })

  it.each<Ending>(['close', 'reset', 'late_reset'])('is told over a link with delay, by a %s', async ending => {
    const clock = createSystemClock()
    const profile = { delayMs: 5, jitterMs: 5, bytesPerMs: 500, holdGapMs: 100, holdMs: 20 }
    const link = await startLinkedPort({ clock, random: createRandom(3), profile, ip: '127.0.0.1', port: 0, targetPort: port() })
    links.push(link)
    onRequest = socket => { ENDINGS[ending](socket, HEAD + BODY) }
    const ends = endsOf(await repeat(watchedPool(`http://${link.address}`), '/'))
    if (ending === 'close') expect(ends).toEqual(['closed'])
    else expect(ends).not.toContain('closed')
  })
})
