import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { type Exchange, startExchange } from '../exchange'
import { createPool, type Pool } from '../httpPool'

let server: Server
let pool: Pool
let received: Array<{ path: string, response: ServerResponse }>

beforeEach(async () => {
  received = []
  server = createServer((request, response) => { received.push({ path: request.url ?? '', response }) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  pool = createPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connections: 1, pipelining: 1 })
})

afterEach(async () => {
  await pool.destroy()
  server.closeAllConnections()
  await new Promise(resolve => server.close(resolve))
})

function send (path: string, onEnd: (end: string) => void): Exchange {
  return startExchange(pool, { method: 'GET', path, headers: [], body: undefined }, {
    onHead: () => {},
    onData: () => {},
    onComplete: () => onEnd('complete'),
    onFailure: ({ reason }) => onEnd(reason)
  })
}

async function until (condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200; tries++) {
    if (condition()) return
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  throw new Error('the condition was not met within 1 s')
}

describe('an exchange that is aborted while it waits for a connection', () => {
  // Guards against running a request that is reported as not sent.
  it('is not sent', async () => {
    const ends: string[] = []
    const first = send('/1', end => ends.push(`1 ${end}`))
    await until(() => received.length === 1)
    const second = send('/2', end => ends.push(`2 ${end}`))
    expect([first.mayHaveBeenSent(), second.mayHaveBeenSent()]).toEqual([true, false])
    second.abort()
    received[0].response.end()
    await until(() => ends.length > 0)
    send('/3', end => ends.push(`3 ${end}`))
    await until(() => received.length === 2)
    expect(received.map(({ path }) => path)).toEqual(['/1', '/3'])
    expect(ends).toEqual(['1 complete'])
  })
})
