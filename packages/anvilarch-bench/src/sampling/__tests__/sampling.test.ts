import { createServer, connect, type AddressInfo } from 'node:net'
import { once } from 'node:events'
import { startByteRelay } from '../byteRelay'
import { parseMetrics, sumMetric } from '../metricsReader'
import { sampleProcess, statusField, usageBetween } from '../processSampler'

describe('sampleProcess', () => {
  test('reads CPU time and memory of a running process', async () => {
    const sample = await sampleProcess(process.pid)
    expect(sample.cpuMs).toBeGreaterThan(0)
    expect(sample.residentBytes).toBeGreaterThan(10_000_000)
  })
})

describe('usageBetween', () => {
  test('returns CPU time as a share of a core, and wake-ups a second', () => {
    const before = { cpuMs: 100, residentBytes: 1, anonymousBytes: 1, peakResidentBytes: 1, wakeUps: 10 }
    const after = { cpuMs: 150, residentBytes: 2, anonymousBytes: 1, peakResidentBytes: 3, wakeUps: 30 }
    expect(usageBetween(before, after, 2000)).toMatchObject({ cpuShare: 0.025, residentBytes: 2, wakeUpsPerSecond: 10 })
  })
})

describe('statusField', () => {
  test('returns the value of a field, and 0 for an absent one', () => {
    expect(statusField('VmHWM:\t  20 kB\nVmRSS:\t  12 kB\n', 'VmRSS')).toBe(12)
    expect(statusField('', 'VmRSS')).toBe(0)
  })
})

describe('parseMetrics', () => {
  test('parses names, labels and values, and sums by label', () => {
    const samples = parseMetrics('# HELP a b\na{class="online",x="1"} 2\na{class="batch"} 3.5\nb 7\n')
    expect(samples).toHaveLength(3)
    expect(sumMetric(samples, 'a')).toBe(5.5)
    expect(sumMetric(samples, 'a', { class: 'online' })).toBe(2)
  })
})

describe('startByteRelay', () => {
  test('forwards bytes and counts both directions', async () => {
    const server = createServer(socket => { socket.on('data', data => socket.write(Buffer.concat([data, data]))) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const relay = await startByteRelay(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    const client = connect(Number(relay.address.split(':')[1]), '127.0.0.1')
    client.write('hello')
    let received = 0
    while (received < 10) received += (await once(client, 'data') as [Buffer])[0].length
    expect(relay.counts()).toEqual({ toTargetBytes: 5, fromTargetBytes: 10, connections: 1 })
    client.destroy()
    await relay.close()
    server.close()
  })
})
