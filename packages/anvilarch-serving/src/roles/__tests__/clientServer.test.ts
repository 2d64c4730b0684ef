import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { createSystemClock, cutAnswer, SILENT_LOGGER } from 'anvilarch-utils'
import type { EventLog } from '../../telemetry/events'
import { type ClientServer, createClientServer } from '../clientServer'

let clients: ClientServer
let taken: Array<{ path: string, response: ServerResponse }>
let onTaken: (path: string, response: ServerResponse) => void

beforeEach(async () => {
  taken = []
  onTaken = () => {}
  const onRequest = ({ url = '' }: IncomingMessage, response: ServerResponse): void => {
    taken.push({ path: url, response })
    onTaken(url, response)
  }
  clients = createClientServer({ log: SILENT_LOGGER as EventLog, clock: createSystemClock(), onRequest })
  await new Promise<void>(resolve => clients.server.listen(0, '127.0.0.1', resolve))
})

afterEach(() => { clients.close() })

async function until (condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200; tries++) {
    if (condition()) return
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  throw new Error('the condition did not come true in time')
}

/** @returns a client that has sent requests for these paths at once */
async function openClient (...paths: string[]): Promise<{ socket: Socket, received: () => string, closed: () => boolean }> {
  const socket = connect((clients.server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  let isClosed = false
  socket.on('data', data => { text += String(data) })
  socket.on('close', () => { isClosed = true })
  socket.on('error', () => {})
  socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`).join(''))
  await until(() => clients.unfinishedRequests().length === paths.length)
  return { socket, received: () => text, closed: () => isClosed }
}

describe('requests that a client sends at once', () => {
  it('are taken one after another', async () => {
    const { received } = await openClient('/1', '/2')
    expect(taken.map(({ path }) => path)).toEqual(['/1'])
    taken[0].response.end('first')
    await until(() => taken.length === 2)
    taken[1].response.end('second')
    await until(() => /first[^]*second/.test(received()))
    await until(() => clients.unfinishedRequests().length === 0)
  })

  // Guards against this: endpoints work for a client that has left, and a stop waits for its requests to the end of the grace.
  it('end with the client', async () => {
    const { socket } = await openClient('/1', '/2', '/3')
    socket.destroy()
    await until(() => clients.unfinishedRequests().length === 0)
    expect(taken.map(({ path }) => path)).toEqual(['/1'])
  })

  it('have a connection that is closed when the second answer is cut', async () => {
    onTaken = (path, response) => {
      if (path === '/1') return
      response.write('half of the second')
      cutAnswer(response)
    }
    const { received, closed } = await openClient('/1', '/2')
    taken[0].response.end('first')
    await until(closed)
    expect(received()).toContain('first')
    expect(received()).not.toMatch(/second\r\n0\r\n/)
  })

  it('are not taken after one whose answer closes the connection', async () => {
    const { closed } = await openClient('/1', '/2')
    taken[0].response.setHeader('Connection', 'close')
    taken[0].response.end('first')
    await until(closed)
    await until(() => clients.unfinishedRequests().length === 0)
    expect(taken.map(({ path }) => path)).toEqual(['/1'])
  })

  // Guards against this: a request behind one that is answered without being taken is never answered.
  it('are taken after one whose expectation nobody meets', async () => {
    const socket = connect((clients.server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nExpect: other\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n')
    await until(() => clients.unfinishedRequests().length === 2)
    taken[0].response.end('first')
    await until(() => taken.length === 2)
    expect(taken[1].path).toBe('/3')
    socket.destroy()
    await until(() => clients.unfinishedRequests().length === 0)
  })

  // Guards against this: an endpoint gets a request of a client that has ended its side.
  it('are not taken once the client has ended its side', async () => {
    const { socket, closed } = await openClient('/1', '/2')
    socket.pause()
    taken[0].response.end(Buffer.alloc(32 * 1024 * 1024))
    const ended = once(taken[0].response.socket as Socket, 'end')
    socket.end()
    await ended
    socket.resume()
    await until(closed)
    await until(() => clients.unfinishedRequests().length === 0)
    expect(taken.map(({ path }) => path)).toEqual(['/1'])
  })
})
