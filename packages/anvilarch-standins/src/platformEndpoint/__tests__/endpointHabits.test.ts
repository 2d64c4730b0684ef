import { connect } from 'node:net'
import { createRandom, createSystemClock } from 'anvilarch-utils'
import type { EndpointHabits } from '../endpointHabits'
import { endpointBody, type EndpointStandin, endpointEventData, startEndpointStandin } from '../endpointStandin'

const NONE: EndpointHabits = { unframedShare: 0, closingShare: 0, earlyHeadShare: 0, joinedShare: 0, extraBytesShare: 0, fullStatus: 503, idleMs: 30_000, statesIdleTime: true, newWeightsShare: 0, resetsConnections: false }

let endpoint: EndpointStandin

afterEach(async () => { await endpoint.end() })

async function start (service: EndpointStandin['service'], habits: Partial<EndpointHabits>): Promise<void> {
  endpoint = await startEndpointStandin({ id: 'e', ip: '127.0.0.1', port: 0, service, slots: 8, events: 3, clock: createSystemClock(), random: createRandom(1), habits: { ...NONE, ...habits }, runs: [] })
}

/** @returns what came before the end of the connection, or before `enough` came, and how the connection ended */
async function call (headers: string[] = [], enough?: string): Promise<{ text: string, end: string }> {
  const [host, port] = endpoint.address.split(':')
  const socket = connect(Number(port), host)
  socket.write(['GET / HTTP/1.1', 'Host: h', 'X-Request-Id: r1', ...headers, '', ''].join('\r\n'))
  let text = ''
  const end = await new Promise<string>(resolve => {
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString()
      if (enough !== undefined && text.includes(enough)) resolve('kept')
    })
    socket.on('error', () => resolve('reset'))
    socket.on('end', () => resolve(socket.remoteAddress === undefined ? 'reset' : 'closed'))
  })
  socket.destroy()
  return { text, end }
}

function events (...ids: number[]): string {
  return ids.map(id => `id: ${id}\ndata: ${endpointEventData(id)}\n\n`).join('')
}

describe('a response without a length', () => {
  it.each([['plain' as const, endpointBody('r1')], ['models' as const, events(1, 2, 3)]])('is whole when its connection ends in order (%s)', async (service, body) => {
    await start(service, { unframedShare: 1 })
    const { text, end } = await call()
    expect([text.split('\r\n\r\n')[1], end]).toEqual([body, 'closed'])
    expect(text).not.toMatch(/content-length|transfer-encoding/i)
  })

  it('is reset when it is broken off', async () => {
    await start('models', { unframedShare: 1, earlyHeadShare: 1 })
    const { text, end } = await call(['X-Deadline-Ms: 1'])
    expect(text).toContain('200 OK')
    expect(end).toBe('reset')
  })
})

describe('a stream', () => {
  it('has no event when it resumes after the last one', async () => {
    await start('models', {})
    const { text } = await call(['Last-Event-Id: 3'], '0\r\n\r\n')
    expect(text).not.toContain('id: 4')
  })

  it('has several events in one chunk, and all of them', async () => {
    await start('models', { joinedShare: 1 })
    const { text } = await call([], '0\r\n\r\n')
    expect(text).toContain(events(1, 2))
    expect(text).toContain(events(3))
  })
})

describe('extra bytes', () => {
  it('come behind a whole response', async () => {
    await start('plain', { extraBytesShare: 1 })
    const { text } = await call([], 'of-none')
    expect(text.indexOf('of-none')).toBeGreaterThan(text.indexOf(endpointBody('r1')))
  })
})
