import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { createSystemClock } from 'anvilarch-utils'
import type { StoreResponse, StoreCall } from '../storeCall'
import { createDirectTransport } from '../transport'

const CALL: StoreCall = { name: 'read', method: 'GET', path: '/', headers: [], body: undefined, timeoutMs: 300 }
const OPEN_CONNECTIONS = 5

let server: Server

afterEach(() => {
  server.closeAllConnections()
  server.close()
})

describe('connections that stop responding without a reset', () => {
  // Guards against a daemon that loses one call after another to connections of the same age and misses changes for the sum of their timeouts.
  it('fail one call and no later ones', async () => {
    const unresponsive = new Set<Socket>()
    const connections = new Set<Socket>()
    server = createServer((request, response) => {
      if (unresponsive.has(request.socket)) return
      // Delays the responses so that all calls of the first round are in progress together and each has its own connection.
      setTimeout(() => response.end('done'), 50)
    })
    server.on('connection', socket => { connections.add(socket) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const call = createDirectTransport(`127.0.0.1:${(server.address() as AddressInfo).port}`, createSystemClock())
    await Promise.all(Array.from({ length: OPEN_CONNECTIONS }, () => call(CALL)))
    expect(connections.size).toBe(OPEN_CONNECTIONS)
    for (const socket of connections) unresponsive.add(socket)
    const outcomes: Array<StoreResponse['outcome']> = []
    for (let index = 0; index < OPEN_CONNECTIONS; index++) outcomes.push((await call(CALL)).outcome)
    expect(outcomes.filter(outcome => outcome === 'no_answer')).toHaveLength(1)
  })
})
