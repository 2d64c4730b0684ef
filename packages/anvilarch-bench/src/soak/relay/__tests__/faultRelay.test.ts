import { createServer, type AddressInfo, connect, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { type FaultRelay, startFaultRelay } from '../faultRelay'

/** Shorter than the timeout of a test, which is 30 s. */
const CONDITION_TIMEOUT_MS = 20_000

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
