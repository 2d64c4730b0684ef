import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { Route } from '../../model/types'
import { type CallOutcome, createMemoryStore, MAX_ROW_BYTES, type MemoryStore } from '../../runner/__fixtures__/memoryStore'
import { type AcceptOutcome, acceptJob } from '../acceptJob'
import { createJobCache } from '../jobCache'
import { createJobRecord } from '../jobRecord'
import { jobKey } from '../jobRows'
import { changeJob, type JobParts } from '../jobStore'
import { MAX_PAGE_RESERVATIONS, pageKey, quotaKey, RESERVATION_GRACE_MS } from '../quota'

const ROUTE = { name: 'jobs', waitingTokenLimit: 1000, jobDueMs: 1, jobExpiryMs: 1, maxAttempts: 3 } as unknown as Route

/** Jobs whose reservations fill a row, with ids of this length. */
const FULL_ROW_JOBS = 271
const LONG_ID_LENGTH = 190

/** More jobs than a gateway caches. */
const MANY_JOBS = 1200

let clock: FakeClock
let store: MemoryStore

beforeEach(() => {
  clock = createFakeClock()
  store = createMemoryStore(clock, () => 'done')
})

/** Creates a gateway whose job cache is empty. */
function createGateway (): JobParts {
  return { store: store.client, work: createJobCache(), clock, log: SILENT_LOGGER }
}

async function accept (gateway: JobParts, jobId: string, tokens: number): Promise<AcceptOutcome> {
  const items = [{ id: `${jobId}-0`, path: '/', headers: {}, body: Buffer.alloc(0), tokens }]
  const accepting = acceptJob(gateway, ROUTE, { jobId, account: undefined, host: 'h', path: '/', items }, clock.nowMs() + 1500)
  await clock.advanceAsync(2000)
  return await accepting
}

/** Stores an ended job in the partition of the first one. */
function putEndedJob (index: number): void {
  const key = { ...jobKey('first'), key: `old-${index}` }
  store.put(key, { ...createJobRecord([], { jobId: key.key, account: undefined, host: 'h', path: '/', nowMs: 0, dueMs: 1, expiryMs: 1, maxAttempts: 1 }), ended: true })
}

async function end (gateway: JobParts, jobId: string): Promise<void> {
  const ending = changeJob(gateway, jobId, job => ({ next: { ...job, ended: true } }), clock.nowMs() + 1000)
  await clock.advanceAsync(1000)
  await ending
}

describe('the limit of waiting tokens', () => {
  // Guards against more waiting tokens than the limit: an older job that another gateway has accepted must still count.
  it('counts a long-waiting job that the accepting gateway has not read', async () => {
    expect(await accept(createGateway(), 'first', 600)).toBe('accepted')
    await clock.advanceAsync(RESERVATION_GRACE_MS)
    const gateway = createGateway()
    expect(await accept(gateway, 'second', 100)).toBe('accepted')
    expect(await accept(gateway, 'third', 600)).toBe('over_limit')
  })

  // Guards against jobs that no longer count because they are evicted from the gateway's cache while it reads the others.
  it('counts a long-waiting job among more jobs than a gateway caches', async () => {
    expect(await accept(createGateway(), 'first', 600)).toBe('accepted')
    for (let index = 0; index < MANY_JOBS; index++) putEndedJob(index)
    await clock.advanceAsync(RESERVATION_GRACE_MS)
    expect(await accept(createGateway(), 'second', 600)).toBe('over_limit')
  })

  // Guards against jobs that are refused below the limit because the reservations no longer fit into one row.
  it('accepts jobs below the limit when the row of reservations is full', async () => {
    const first = quotaKey(ROUTE.name, undefined)
    const reservations = Array.from({ length: FULL_ROW_JOBS }, (_, index) => ({ jobId: `waiting-${String(index).padStart(LONG_ID_LENGTH, '0')}`, tokens: 0.5, reservedAtMs: clock.nowMs() }))
    const rowBytes = JSON.stringify(reservations).length
    expect(rowBytes).toBeLessThan(MAX_ROW_BYTES)
    expect(rowBytes / FULL_ROW_JOBS * (FULL_ROW_JOBS + 1)).toBeGreaterThan(MAX_ROW_BYTES)
    store.put(first, reservations)
    const outcomes: AcceptOutcome[] = []
    for (let index = 0; index < 5; index++) outcomes.push(await accept(createGateway(), `new-${String(index).padStart(LONG_ID_LENGTH, '0')}`, 170))
    expect(outcomes).toEqual(Array(5).fill('accepted'))
    expect(await accept(createGateway(), 'beyond', 100)).toBe('over_limit')
    const counts = [0, 1].map(page => (JSON.parse(String(store.row(pageKey(first, page))?.value)) as unknown[]).length)
    expect(counts).toEqual([MAX_PAGE_RESERVATIONS, FULL_ROW_JOBS + 5 - MAX_PAGE_RESERVATIONS])
  })

  // Guards against more waiting tokens than the limit because a further page is not read.
  it('counts reservations on all pages', async () => {
    const first = quotaKey(ROUTE.name, undefined)
    const reservations = Array.from({ length: MAX_PAGE_RESERVATIONS }, (_, index) => ({ jobId: `waiting-${index}`, tokens: 1, reservedAtMs: clock.nowMs() }))
    store.put(first, reservations)
    store.put(pageKey(first, 1), [{ jobId: 'large', tokens: 700, reservedAtMs: clock.nowMs() }])
    expect(await accept(createGateway(), 'beyond', 100)).toBe('over_limit')
    expect(await accept(createGateway(), 'fits', 50)).toBe('accepted')
  })

  // Guards against two gateways that each reserve the last tokens on a further page.
  it('is kept by two gateways at once when the first page is full', async () => {
    const first = quotaKey(ROUTE.name, undefined)
    store.put(first, Array.from({ length: MAX_PAGE_RESERVATIONS }, (_, index) => ({ jobId: `waiting-${index}`, tokens: 1, reservedAtMs: clock.nowMs() })))
    store.put(pageKey(first, 1), [{ jobId: 'waiting', tokens: 50, reservedAtMs: clock.nowMs() }])
    const outcomes = await Promise.all([accept(createGateway(), 'one', 400), accept(createGateway(), 'two', 400)])
    expect(outcomes.sort()).toEqual(['accepted', 'over_limit'])
  })

  it.each<CallOutcome>(['unanswered', 'late'])('counts a job once when the write of its reservation gets no answer: %s', async outcome => {
    const outcomes: CallOutcome[] = ['done', 'done', 'done', outcome]
    store = createMemoryStore(clock, () => outcomes.shift() ?? 'done')
    expect(await accept(createGateway(), 'first', 600)).not.toBe('over_limit')
    await clock.advanceAsync(5000)
    expect(await accept(createGateway(), 'first', 600)).toBe('accepted')
    expect(await accept(createGateway(), 'second', 400)).toBe('accepted')
    expect(await accept(createGateway(), 'third', 1)).toBe('over_limit')
  })

  it('does not count a job that has ended', async () => {
    const gateway = createGateway()
    expect(await accept(gateway, 'first', 600)).toBe('accepted')
    await end(gateway, 'first')
    expect(await accept(createGateway(), 'second', 600)).toBe('accepted')
  })
})
