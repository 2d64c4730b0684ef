import { type StandinHandle, startHostStandin, startObjectStandin, startTableStandin } from 'anvilarch-standins'
import { createSystemClock } from 'anvilarch-utils'
import { createMetrics } from '../../metrics/createMetrics'
import type { Metrics } from '../../metrics/types'
import { createPlatform, type Platform } from '../createPlatform'

/** Long enough for a response on a busy host; only the test of unresponsive connections waits for it. */
const TIMEOUT_MS = 1500

interface PlatformFixture { platform: Platform, metrics: Metrics, table: StandinHandle, objects: StandinHandle, hosts: StandinHandle }

const open: Array<() => Promise<void>> = []

async function start (): Promise<PlatformFixture> {
  const [table, objects, hosts] = [await startTableStandin(), await startObjectStandin(), await startHostStandin()]
  const metrics = createMetrics()
  const settings = { adapter: 'http' as const, tableUrl: table.url, objectsUrl: objects.url, hostsUrl: hosts.url, timeoutMs: TIMEOUT_MS }
  const platform = createPlatform({ settings, clock: createSystemClock(), metrics })
  open.push(platform.close, table.close, objects.close, hosts.close)
  return { platform, metrics, table, objects, hosts }
}

afterEach(async () => {
  for (const close of open.splice(0)) await close()
})

const write = (commitId: string, version: number): { commitId: string, conditions: Array<{ key: string, version: number }>, writes: Array<{ key: string, value: string }> } =>
  ({ commitId, conditions: [{ key: 'a', version }], writes: [{ key: 'a', value: commitId }] })

describe('createPlatform', () => {
  it('reads, scans and commits rows, and reports a conflict', async () => {
    const { platform: { table } } = await start()
    expect(await table.commit(write('one', 0))).toMatchObject({ outcome: 'committed' })
    expect(await table.commit(write('two', 0))).toMatchObject({ outcome: 'conflict', rows: [{ key: 'a', value: 'one' }] })
    expect(await table.read(['a', 'b'])).toEqual([expect.objectContaining({ value: 'one' }), null])
    expect((await table.scan('a', { limit: 10 })).rows).toHaveLength(1)
  })

  it('puts, gets, lists and removes objects', async () => {
    const { platform: { objects } } = await start()
    const body = new TextEncoder().encode('0123456789')
    expect(await objects.putIfAbsent('a/b', body)).toBe('created')
    expect(await objects.putIfAbsent('a/b', new Uint8Array(1))).toBe('exists')
    expect(Buffer.from(await objects.get('a/b') as Uint8Array).toString()).toBe('0123456789')
    expect(Buffer.from(await objects.get('a/b', { fromByte: 2, toByte: 4 }) as Uint8Array).toString()).toBe('234')
    expect((await objects.list('a/', { limit: 10 })).names).toEqual(['a/b'])
    await objects.remove('a/b')
    expect(await objects.get('a/b')).toBeNull()
  })

  it('reports calls during an outage as not run, and counts them', async () => {
    const { platform, metrics, table, hosts } = await start()
    table.faults.set({ outage: true })
    await expect(platform.table.read(['a'])).rejects.toMatchObject({ code: 'platform_unavailable', step: 'platform.table.read', peer: table.url, ran: 'not_run' })
    expect(await metrics.registry.getSingleMetricAsString('anvilarch_platform_calls_total')).toContain('service="table",operation="read",outcome="status_503"} 1')
    await hosts.close()
    await expect(platform.hosts.list()).rejects.toMatchObject({ code: 'platform_unavailable', ran: 'not_run' })
  })

  // Guards against a change that is reported as not run but has taken effect.
  it('reports an unknown outcome after a lost response, and a retry with the commit id determines it', async () => {
    const { platform, table } = await start()
    table.faults.set({ loseReplies: 1 })
    await expect(platform.table.commit(write('one', 0))).rejects.toMatchObject({ code: 'platform_unavailable', ran: 'unknown' })
    table.faults.set({ loseReplies: 0 })
    expect(await platform.table.commit(write('one', 0))).toMatchObject({ outcome: 'committed' })
    expect(await platform.table.read(['a'])).toMatchObject([{ value: 'one', version: 1 }])
  })

  // Guards against calls to the table that all time out for minutes although the table is healthy.
  it('loses at most one call to connections that became unresponsive', async () => {
    const { platform, table } = await start()
    await Promise.all(Array.from({ length: 8 }, async () => await platform.table.read(['a'])))
    table.faults.set({ silence: true })
    await expect(platform.table.read(['a'])).rejects.toMatchObject({ ran: 'unknown' })
    await expect(Promise.all(Array.from({ length: 8 }, async () => await platform.table.read(['a'])))).resolves.toHaveLength(8)
  })

  it('ends a call when its signal aborts', async () => {
    const { platform, table } = await start()
    table.faults.set({ frozen: true })
    const controller = new AbortController()
    const reading = platform.table.read(['a'], controller.signal)
    controller.abort()
    await expect(reading).rejects.toMatchObject({ code: 'platform_unavailable', ran: 'unknown' })
  })
})
