import { createFakeClock, createLifecycleManager, createRandom, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { ROW_KEYS } from 'anvilarch-protocol'
import type { DaemonContext } from '../../context'
import { createFakePlatform, type FakePlatform } from '../../platform/__fixtures__/fakePlatform'
import { createTimeline } from '../../timeline/createTimeline'
import { withFingerprint, EMPTY_STATE, MAX_ENTRIES } from '../quarantineState'
import { startQuarantine } from '../startQuarantine'
import type { QuarantineLog } from '../types'

const EXPIRY_MS = 24 * 3600 * 1000

async function startGateway (name: string, clock: FakeClock, platform: FakePlatform): Promise<QuarantineLog> {
  const context = {
    clock, platform, logger: SILENT_LOGGER, random: createRandom(3), timeline: createTimeline({ clock, process: name, capacity: 10 }), settings: { name, gateway: { pollIntervalMs: 2000 } }
  } as unknown as DaemonContext
  return await startQuarantine(context, createLifecycleManager({ clock }))
}

describe('startQuarantine', () => {
  // Guards against a request that keeps crashing endpoints, because an outage of the table kept its fingerprint from other gateways.
  it('keeps a fingerprint added during an outage of the table and shares it with other gateways afterwards', async () => {
    const clock = createFakeClock()
    const platform = createFakePlatform()
    const [first, second] = [await startGateway('g1', clock, platform), await startGateway('g2', clock, platform)]
    platform.outage = true
    first.add('crasher', 'crashed two endpoints')
    await clock.advanceAsync(60_000)
    expect([first.has('crasher'), second.has('crasher')]).toEqual([true, false])
    platform.outage = false
    await clock.advanceAsync(6000)
    expect(second.has('crasher')).toBe(true)
    expect(platform.rows.has(ROW_KEYS.suspect('crasher'))).toBe(true)
    expect(platform.committed).toHaveLength(1)
  })

  it('writes the row at once when the table is available, and again after a lost reply', async () => {
    const clock = createFakeClock()
    const platform = createFakePlatform()
    const quarantine = await startGateway('g1', clock, platform)
    await clock.advanceAsync(10)
    platform.dropsResponse = () => true
    quarantine.add('crasher', 'why')
    await clock.advanceAsync(1)
    expect(platform.rows.size).toBe(1)
    platform.dropsResponse = () => false
    await clock.advanceAsync(6000)
    expect(quarantine.list()).toEqual(['crasher'])
    expect(platform.rows.size).toBe(1)
  })

  it('removes a fingerprint after one day, from the table too', async () => {
    const clock = createFakeClock()
    const platform = createFakePlatform()
    const quarantine = await startGateway('g1', clock, platform)
    quarantine.add('crasher', 'why')
    await clock.advanceAsync(10_000)
    clock.advance(EXPIRY_MS)
    await clock.advanceAsync(6000)
    expect(quarantine.has('crasher')).toBe(false)
    expect(platform.rows.size).toBe(0)
  })

  // Guards against a gateway that learns of no crashing request any more because one row cannot be read.
  it.each(['', '{', 'null', '[]', '{"reason":1}', `${'['.repeat(100_000)}${']'.repeat(100_000)}`, '{"reason":"a","addedBy":"b","addedAtMs":1e400}'])('learns of the other rows beside one that is odd (%#)', async odd => {
    const clock = createFakeClock()
    const platform = createFakePlatform()
    const quarantine = await startGateway('g1', clock, platform)
    platform.rows.set(ROW_KEYS.suspect('a-odd'), { key: ROW_KEYS.suspect('a-odd'), version: 1, value: odd })
    platform.rows.set(ROW_KEYS.suspect('crasher'), { key: ROW_KEYS.suspect('crasher'), version: 2, value: JSON.stringify({ reason: 'why', addedBy: 'g2', addedAtMs: 0 }) })
    await clock.advanceAsync(6000)
    expect(quarantine.list()).toEqual(['crasher'])
  })

  it('lists the fingerprints added since the last call', async () => {
    const quarantine = await startGateway('g1', createFakeClock(), createFakePlatform())
    quarantine.add('a', 'why')
    const { fingerprints, sequence } = quarantine.addedSince(0)
    quarantine.add('b', 'why')
    quarantine.add('a', 'again')
    expect([fingerprints, quarantine.addedSince(sequence).fingerprints]).toEqual([['a'], ['b']])
  })
})

describe('withFingerprint', () => {
  it('evicts the oldest fingerprint when there are too many', () => {
    const row = { reason: 'why', addedBy: 'g', addedAtMs: 0 }
    const entries = new Map(Array.from({ length: MAX_ENTRIES }, (_unused, index) => [`f${index}`, { row, sequence: index + 1, stored: true }]))
    const state = withFingerprint({ ...EMPTY_STATE, entries, lastSequence: MAX_ENTRIES }, 'new', row, false)
    expect(state.entries.size).toBe(MAX_ENTRIES)
    expect([state.entries.has('f0'), state.entries.has('new')]).toEqual([false, true])
  })
})
