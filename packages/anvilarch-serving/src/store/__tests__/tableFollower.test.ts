import { createFakeClock, createRandom, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { Err, Ok } from 'ts-results'
import type { EventLog } from '../../telemetry/events'
import { followTable } from '../tableFollower'
import { type MetadataStore, OVER_RATE_REASON, type StoredRow } from '../types'

const PARTITIONS = Array.from({ length: 8 }, (_, index) => `p${index}`)

function rowOf (partition: string): StoredRow {
  return { table: 't', partition, key: `row-${partition}`, value: Buffer.alloc(0), version: 1 }
}

/** Creates a store that rejects the calls beyond a rate per second. */
function createBoundedStore (clock: FakeClock, readsPerSecond: number): { store: MetadataStore, rejected: () => number } {
  let second = -1
  let calls = 0
  let rejected = 0
  const isOverRate = (): boolean => {
    const now = Math.floor(clock.nowMs() / 1000)
    if (now !== second) {
      second = now
      calls = 0
    }
    calls++
    if (calls > readsPerSecond) rejected++
    return calls > readsPerSecond
  }
  const store = {
    readRows: async ({ partition }: { partition: string }) => isOverRate() ? Err({ reason: OVER_RATE_REASON }) : Ok({ rows: [rowOf(partition)], version: 1 }),
    readFeed: async () => {
      await new Promise<void>(resolve => clock.after(2000, resolve))
      return isOverRate() ? Err({ reason: OVER_RATE_REASON }) : Ok({ outcome: 'changes', changes: [], version: 1 })
    }
  } as unknown as MetadataStore
  return { store, rejected: () => rejected }
}

describe('followTable', () => {
  // Guards against a simultaneous start of all daemons that never completes because each rejected call makes a daemon list all partitions again.
  it('lists the tables of hundreds of daemons that start together within seconds although the store rejects most calls', async () => {
    const clock = createFakeClock()
    const { store, rejected } = createBoundedStore(clock, 1000)
    const listed: StoredRow[][] = []
    const controller = new AbortController()
    for (let daemon = 0; daemon < 600; daemon++) {
      const listener = { onListing: (rows: StoredRow[]) => { listed.push(rows) }, onChange: () => {} }
      followTable({ store, clock, random: createRandom(daemon), log: SILENT_LOGGER as EventLog, table: 't', partitions: PARTITIONS, listener, waitMs: 2000, signal: controller.signal })
        .catch(error => { throw error })
    }
    for (let passedMs = 0; passedMs < 6000; passedMs += 100) await clock.advanceAsync(100)
    controller.abort()
    expect(listed).toHaveLength(600)
    for (const rows of listed) expect(rows.map(row => row.partition)).toEqual(PARTITIONS)
    // All daemons together need 4,800 calls, which take 4.8 s at the rate of the store.
    expect(rejected()).toBeLessThan(4800)
  })

  // Guards against a copy of a table that is never updated again because one row made its listener throw.
  it.each(['listing', 'change', 'response'] as const)('goes on after an exception at a %s', async faulty => {
    const clock = createFakeClock()
    const events: string[] = []
    const received: string[] = []
    let feedCalls = 0
    const throwOnce = (kind: string, key: string): void => {
      received.push(key)
      if (kind === faulty && received.length === 1) throw new Error('odd row')
    }
    const change = (key: string, version: number): object => ({ change: 'put', row: { ...rowOf(key), version } })
    const store = {
      readRows: async () => Ok({ rows: [], version: 1 }),
      readFeed: async () => {
        await new Promise<void>(resolve => clock.after(100, resolve))
        feedCalls++
        if (faulty === 'response' && feedCalls === 1) throw new Error('odd response')
        return Ok({ outcome: 'changes', changes: [change(`a${feedCalls}`, 2 * feedCalls), change(`b${feedCalls}`, 2 * feedCalls + 1)], version: 2 * feedCalls + 1 })
      }
    } as unknown as MetadataStore
    const log = { ...SILENT_LOGGER, error: (event: string) => { events.push(event) } } as EventLog
    const listener = { onListing: () => { if (faulty === 'listing') throwOnce('listing', 'listing') }, onChange: ({ row }: { row: StoredRow }) => throwOnce('change', row.key) }
    const controller = new AbortController()
    const following = followTable({ store, clock, random: createRandom(1), log, table: 't', partitions: ['p'], listener: listener as never, waitMs: 2000, signal: controller.signal })
    for (let passedMs = 0; passedMs < 2000; passedMs += 50) await clock.advanceAsync(50)
    controller.abort()
    await clock.advanceAsync(1000)
    await following
    expect(received).toEqual(expect.arrayContaining(['row-a2', 'row-b2', 'row-a3', 'row-b3']))
    expect(events).toEqual(faulty === 'response' ? [] : ['table listener failed'])
  })

  it('restarts a listing that has been interrupted for too long', async () => {
    const clock = createFakeClock()
    let version = 1
    let reject = false
    const store = {
      readRows: async ({ partition }: { partition: string }) => {
        if (partition === 'p1' && reject) return Err({ reason: 'silent' })
        return Ok({ rows: [{ ...rowOf(partition), version }], version })
      },
      readFeed: () => new Promise(() => {})
    } as unknown as MetadataStore
    const listed: StoredRow[][] = []
    reject = true
    const listener = { onListing: (rows: StoredRow[]) => { listed.push(rows) }, onChange: () => {} }
    followTable({ store, clock, random: createRandom(1), log: SILENT_LOGGER as EventLog, table: 't', partitions: ['p0', 'p1'], listener, waitMs: 2000, signal: new AbortController().signal })
      .catch(error => { throw error })
    await clock.advanceAsync(9000)
    version = 2
    await clock.advanceAsync(9000)
    reject = false
    await clock.advanceAsync(1000)
    expect(listed[0].map(row => row.version)).toEqual([2, 2])
  })

  it('logs one line when a feed is lost and one when it responds again', async () => {
    const clock = createFakeClock()
    let failing = false
    const store = {
      readRows: async () => Ok({ rows: [], version: 1 }),
      readFeed: async () => {
        await new Promise<void>(resolve => clock.after(1000, resolve))
        return failing ? Err({ reason: 'timeout' }) : Ok({ outcome: 'changes', changes: [], version: 1 })
      }
    } as unknown as MetadataStore
    const lines: Array<{ event: string, failedCalls?: number }> = []
    const record = (event: string, fields: object): void => { lines.push({ event, ...fields }) }
    const log = { ...SILENT_LOGGER, info: record, warn: record } as unknown as EventLog
    const listener = { onListing: () => {}, onChange: () => {} }
    const controller = new AbortController()
    followTable({ store, clock, random: createRandom(1), log, table: 't', partitions: ['p0'], listener, waitMs: 2000, signal: controller.signal })
      .catch(error => { throw error })
    await clock.advanceAsync(1500)
    failing = true
    await clock.advanceAsync(4000)
    failing = false
    await clock.advanceAsync(3000)
    controller.abort()
    expect(lines).toEqual([
      { event: 'feed lost', table: 't', reason: 'timeout', openMs: 1000 },
      expect.objectContaining({ event: 'feed answers again', table: 't', openMs: 1000 })
    ])
    expect(lines[1].failedCalls).toBeGreaterThan(2)
  })
})
