import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { createRandom, createSystemClock } from 'anvilarch-utils'
import { startLinkedPort } from '../linkedPort'
import { createLinkTiming, drawLinkProfile, type LinkProfile } from '../linkTiming'

const PLAIN: LinkProfile = { delayMs: 10, jitterMs: 0, bytesPerMs: 100, holdGapMs: 1e9, holdMs: 0 }

describe('the arrival of bytes over a link', () => {
  it('is after the delay and the time that the bandwidth takes', () => {
    const arrivalMs = createLinkTiming(PLAIN, createRandom(1))
    expect(arrivalMs(1000, 500)).toBeCloseTo(1015)
    expect(arrivalMs(1000, 500)).toBeCloseTo(1020)
    expect(arrivalMs(2000, 0)).toBeCloseTo(2010)
  })

  it('keeps the order and stays within delay, jitter and holds', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const random = createRandom(seed)
      const profile = drawLinkProfile(random)
      const arrivalMs = createLinkTiming(profile, random)
      let lastMs = 0
      for (let nowMs = 0; nowMs < 20_000; nowMs += 50) {
        const atMs = arrivalMs(nowMs, 10)
        expect(atMs).toBeGreaterThanOrEqual(Math.max(lastMs, nowMs + profile.delayMs))
        expect(atMs).toBeLessThanOrEqual(nowMs + profile.delayMs + profile.jitterMs + profile.holdMs + 1)
        lastMs = atMs
      }
    }
  })
})

describe('a connection through a linked port', () => {
  const open: Array<{ close: () => void }> = []
  const sockets: Socket[] = []

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy()
    for (const server of open.splice(0)) server.close()
  })

  async function connectThrough (onConnection: (socket: Socket) => void): Promise<Socket> {
    const server = createServer({ allowHalfOpen: true }, socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      onConnection(socket)
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    open.push(server)
    const link = await startLinkedPort({ clock: createSystemClock(), random: createRandom(1), profile: PLAIN, ip: '127.0.0.1', port: 0, targetPort: (server.address() as AddressInfo).port })
    open.push(link)
    const socket = connect({ host: '127.0.0.1', port: Number(link.address.split(':')[1]), allowHalfOpen: true })
    sockets.push(socket)
    return socket
  }

  it('passes a half-close and the bytes that come after it from the other side', async () => {
    const client = await connectThrough(socket => {
      socket.resume()
      socket.on('end', () => socket.end('after the half-close'))
    })
    client.end('request')
    const received: Buffer[] = []
    client.on('data', (bytes: Buffer) => received.push(bytes))
    await new Promise(resolve => client.on('end', resolve))
    expect(Buffer.concat(received).toString()).toBe('after the half-close')
  })

  it('passes a reset as a reset', async () => {
    const client = await connectThrough(socket => { socket.on('data', () => socket.resetAndDestroy()) })
    client.write('request')
    const error = await new Promise<NodeJS.ErrnoException>(resolve => client.on('error', resolve))
    expect(error.code).toBe('ECONNRESET')
  })

  // Guards against a link that turns a response that was broken off into a complete one.
  it('passes a reset that arrives together with bytes as a reset', async () => {
    const client = await connectThrough(socket => {
      socket.on('data', () => {
        socket.write('half of a response')
        socket.resetAndDestroy()
      })
    })
    client.write('request')
    client.resume()
    const end = await new Promise(resolve => {
      client.on('error', () => resolve('reset'))
      client.on('end', () => resolve(client.remoteAddress === undefined ? 'reset' : 'closed'))
    })
    expect(end).toBe('reset')
  })
})
