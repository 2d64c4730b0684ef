import { createServer, type AddressInfo, connect, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { type ConnectionEnd, watchConnectionEnd } from 'anvilarch-utils'
import { type FaultRelay, startFaultRelay } from '../faultRelay'

/** Shorter than the timeout of a test, which is 30 s. */
const CONDITION_TIMEOUT_MS = 20_000

const REPETITIONS = 20

describe('startFaultRelay', () => {
  let echo: Server
  let relay: FaultRelay
  let sink: Server | undefined
  const clients: Socket[] = []

  beforeEach(async () => {
    echo = createServer(socket => { socket.on('error', () => {}).pipe(socket) })
    await new Promise<void>(resolve => { echo.listen(0, '127.0.0.1', resolve) })
    relay = await startFaultRelay()
    relay.setTarget(`127.0.0.1:${(echo.address() as AddressInfo).port}`)
  })

  afterEach(async () => {
    for (const client of clients.splice(0)) client.destroy()
    await relay.close()
    await new Promise(resolve => { echo.close(resolve) })
    sink?.close()
  })

  /** Rejects if the condition stays false, instead of occupying the event loop forever. */
  const waitUntil = async (condition: () => boolean): Promise<void> => {
    const deadlineMs = performance.now() + CONDITION_TIMEOUT_MS
    while (!condition()) {
      if (performance.now() > deadlineMs) throw new Error(`condition stayed false: ${String(condition)}`)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  const open = (): Socket => {
    const [host, port] = relay.address.split(':')
    const client = connect(Number(port), host)
    clients.push(client)
    return client
  }

  const exchange = async (client: Socket, text: string): Promise<string> => {
    const reply = once(client, 'data')
    client.write(text)
    return String((await reply)[0])
  }

  test('forwards bytes in both directions', async () => {
    expect(await exchange(open(), 'one')).toBe('one')
  })

  test('keeps stalled connections open without forwarding a byte while new ones work', async () => {
    const old = open()
    await exchange(old, 'before')
    const seen: string[] = []
    old.on('data', data => { seen.push(String(data)) })
    old.on('close', () => { seen.push('closed') })
    expect(relay.stall()).toBe(1)
    old.write('after')
    expect(await exchange(open(), 'new')).toBe('new')
    expect(await exchange(open(), 'newer')).toBe('newer')
    expect(seen).toEqual([])
  })

  // Guards against a broken connection that looks closed in order behind the relay.
  test.each<[string, ConnectionEnd, (socket: Socket) => void]>([
    ['a close', 'closed', socket => { socket.end('bytes') }],
    ['a reset together with bytes', 'broken', socket => {
      socket.write('bytes')
      socket.resetAndDestroy()
    }],
    ['a reset after bytes', 'broken', socket => { socket.write('bytes', () => { setTimeout(() => { socket.resetAndDestroy() }, 10) }) }]
  ])('forwards %s as such', async (_name, expected, endConnection) => {
    const server = createServer(socket => { socket.on('error', () => {}).once('data', () => { endConnection(socket) }) })
    sink = server
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    relay.setTarget(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    for (let count = 0; count < REPETITIONS; count++) {
      const client = open()
      client.on('error', () => {}).resume()
      client.write('request')
      expect(await new Promise(resolve => { watchConnectionEnd(client, resolve) })).toBe(expected)
    }
  })

  test('forwards delayed data on release, even if its sender has closed the connection meanwhile', async () => {
    const received: string[] = []
    const receiver = createServer(socket => { socket.on('data', data => { received.push(String(data)) }) })
    sink = receiver
    await new Promise<void>(resolve => { receiver.listen(0, '127.0.0.1', resolve) })
    relay.setTarget(`127.0.0.1:${(receiver.address() as AddressInfo).port}`)
    const old = open()
    old.write('early')
    await waitUntil(() => received.length >= 1)
    const delayed = relay.delay()
    expect(delayed.connections).toBe(1)
    old.end('late')
    await once(old, 'finish')
    open().write('new')
    await waitUntil(() => received.length >= 2)
    delayed.release()
    await waitUntil(() => received.length >= 3)
    expect(received).toEqual(['early', 'new', 'late'])
  })
})
