import { type AddressInfo, createServer, type Socket } from 'node:net'
import { createSystemClock } from 'anvilarch-utils'
import { createPool } from '../../endpoints/httpPool'
import { startEndlessEndpoint } from '../../requests/__fixtures__/endlessEndpoint'
import { createMemoryMeter, HEAP_LIMIT_BYTES } from '../../requests/__fixtures__/keptMemory'
import { readReport } from '../agentRole'
import type { EngineWire } from '../types'

/** More than the limit on a report, with what the sockets hold. */
const MAX_SENT_BYTES = 16 * 1024 * 1024

const CHUNK = Buffer.alloc(64 * 1024, 'a')

describe('the report of an engine', () => {
  // Guards against an agent that reads a report without end.
  it('is not read beyond a limit', async () => {
    const open = new Set<Socket>()
    let sentBytes = 0
    const server = createServer(socket => {
      socket.setNoDelay(true)
      open.add(socket)
      socket.on('close', () => open.delete(socket))
      socket.on('error', () => {})
      const send = (): void => { while (!socket.destroyed && socket.write(CHUNK)) sentBytes += CHUNK.length }
      socket.on('drain', send)
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n')
        send()
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const pool = createPool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connections: 1, headersTimeout: 0, bodyTimeout: 0 })
    const wire = { reportPath: '/', decodeReport: () => ({}) } as unknown as EngineWire
    expect(await readReport(pool, wire, createSystemClock())).toBeUndefined()
    await pool.destroy()
    expect(sentBytes).toBeLessThan(MAX_SENT_BYTES)
    for (const socket of open) socket.destroy()
    server.close()
  })

  // Guards against a limit that counts the bytes of a report and not what holds them.
  it('takes little memory if it comes in chunks of one byte', async () => {
    const meter = createMemoryMeter(512 * 1024)
    const endpoint = await startEndlessEndpoint({ start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', chunk: '1\r\na\r\n'.repeat(10_000), onSent: () => meter.onProgress(endpoint.sentBytes()) })
    const pool = createPool(`http://${endpoint.address}`, { connections: 1, headersTimeout: 0, bodyTimeout: 0 })
    const wire = { reportPath: '/', decodeReport: () => ({}) } as unknown as EngineWire
    expect(await readReport(pool, wire, createSystemClock())).toBeUndefined()
    await pool.destroy()
    endpoint.close()
    expect(meter.mostBytes()).toBeLessThan(HEAP_LIMIT_BYTES / 4)
  })
})
