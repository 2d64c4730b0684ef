import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { createSystemClock } from '../../clock'
import { collectBody, createBodyLimits } from '../collectBody'
import { type ConnectionClosure, limitConnections } from '../limitConnections'
import { createRequestLimits, MAX_WAITING_REQUESTS } from '../requestLimits'

const clock = createSystemClock()

const REQUEST = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n'

let server: Server
const sockets: Socket[] = []

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy())
  server.closeAllConnections()
  server.close()
})

async function listen (onRequest: (request: IncomingMessage, response: ServerResponse) => void, prepare = (_server: Server): void => {}): Promise<void> {
  server = createServer(onRequest)
  prepare(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
}

interface Client { socket: Socket, text: () => string, isClosed: () => boolean }

function open (bytes: string): Client {
  let text = ''
  let closed = false
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  sockets.push(socket)
  socket.on('data', data => { text += String(data) })
  socket.on('error', () => {})
  socket.on('close', () => { closed = true })
  socket.write(bytes)
  return { socket, text: () => text, isClosed: () => closed }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

describe('limitConnections', () => {
  const closures: ConnectionClosure[] = []
  const limitTo = (maxConnections: number, maxIdleMs = Infinity) => (limited: Server): void => {
    closures.length = 0
    limitConnections(limited, { clock, maxConnections, maxIdleMs: () => maxIdleMs, onClosed: closure => { closures.push(closure) } })
  }

  it('closes the oldest connection without a request for a new one, and not one with a request in progress', async () => {
    await listen(() => {}, limitTo(2))
    const busy = open(REQUEST)
    await new Promise(resolve => server.once('request', resolve))
    const unused = open('')
    await until(() => !unused.socket.connecting)
    open('')
    await until(() => unused.isClosed())
    expect({ busy: busy.isClosed(), closures }).toEqual({ busy: false, closures: ['unused'] })
  })

  it('closes the new connection if all have requests in progress', async () => {
    await listen(() => {}, limitTo(1))
    open(REQUEST)
    await new Promise(resolve => server.once('request', resolve))
    const second = open(REQUEST)
    await until(() => second.isClosed())
    expect(closures).toEqual(['refused'])
  })

  // Guards against empty lines that restart the idle timeout.
  it('closes a connection that sends only empty lines after a response', async () => {
    await listen((_request, response) => response.end('ok'), limitTo(10, 100))
    const client = open(REQUEST)
    const timer = setInterval(() => client.socket.write('\r\n'), 20)
    await until(() => client.isClosed())
    clearInterval(timer)
    expect(closures).toEqual(['overdue'])
  })
})

describe('createRequestLimits', () => {
  it('keeps room for first requests that those which wait on their connections cannot take', async () => {
    const taken: boolean[] = []
    await listen((request, response) => {
      const limits = createRequestLimits(20_000)
      taken.push(limits.take(request, 1) !== undefined, limits.take(request, 1) !== undefined, limits.take(request, 0) !== undefined, createRequestLimits(1e9).take(request, MAX_WAITING_REQUESTS + 1) !== undefined)
      response.end()
    })
    open(REQUEST)
    await until(() => taken.length > 0)
    expect(taken).toEqual([true, false, true, false])
  })
})

describe('collectBody', () => {
  const limits = createBodyLimits({ clock, limitBytes: 10_000_000 })
  const POST = 'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'

  async function collect (bytes: string, maxBytes: number): Promise<string> {
    await listen((request, response) => {
      const { result, upload } = collectBody(request, maxBytes, limits)
      result.then(collected => {
        upload.release()
        response.end(collected.outcome === 'read' ? collected.body : collected.outcome)
      }, () => response.destroy())
    })
    const client = open(bytes)
    await until(() => client.text().endsWith('0\r\n\r\n') || client.text().includes('\r\n\r\n'))
    return client.text().split('\r\n\r\n')[1]
  }

  it('returns a body in more chunks of one byte than a connection may deliver in a row', async () => {
    const digits = Array.from({ length: 5000 }, (_, index) => String(index % 10))
    expect(await collect(POST + digits.map(digit => `1\r\n${digit}\r\n`).join('') + '0\r\n\r\n', 5000)).toBe(digits.join(''))
    expect(limits.budget.takenBytes()).toBe(0)
  })

  it('stops at the limit of a body', async () => {
    expect(await collect(POST + '5\r\nabcde\r\n5\r\nabcde\r\n', 9)).toBe('too_large')
    expect(limits.budget.takenBytes()).toBe(0)
  })
})
