import { createFakeClock, type FakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import type { Route } from '../../model/types'
import { createMemoryStore, type MemoryStore } from '../../runner/__fixtures__/memoryStore'
import { type AcceptOutcome, acceptJob } from '../acceptJob'
import { createJobCache } from '../jobCache'
import { createJobRecord } from '../jobRecord'
import { jobKey } from '../jobRows'
import { changeJob, type JobParts } from '../jobStore'
import { RESERVATION_GRACE_MS } from '../quota'

const ROUTE = { name: 'jobs', waitingTokenLimit: 1000, jobDueMs: 1, jobExpiryMs: 1, maxAttempts: 3 } as unknown as Route

/** More than a gateway remembers. */
const MANY_JOBS = 1200

let clock: FakeClock
let store: MemoryStore

beforeEach(() => {
  clock = createFakeClock()
  store = createMemoryStore(clock, () => 'done')
})

/** A gateway that has not been asked for any job yet. */
function createGateway (): JobParts {
  return { store: store.client, work: createJobCache(), clock, log: SILENT_LOGGER }
}

async function accept (gateway: JobParts, jobId: string, tokens: number): Promise<AcceptOutcome> {
  const items = [{ id: `${jobId}-0`, path: '/', headers: {}, body: Buffer.alloc(0), tokens }]
  const accepting = acceptJob(gateway, ROUTE, { jobId, account: undefined, host: 'h', path: '/', items }, clock.nowMs() + 1500)
  await clock.advanceAsync(2000)
  return await accepting
}

/** An old job in the partition of the first one. */
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
  // Guards against this: a job that another gateway has accepted a while ago no longer counts, and more waits than the limit.
  it('counts a job that waits for long when a gateway that does not know it accepts another', async () => {
    expect(await accept(createGateway(), 'first', 600)).toBe('accepted')
    await clock.advanceAsync(RESERVATION_GRACE_MS)
    const gateway = createGateway()
    expect(await accept(gateway, 'second', 100)).toBe('accepted')
    expect(await accept(gateway, 'third', 600)).toBe('over_limit')
  })

  // Guards against this: the jobs that count are pushed out of the memory of the gateway while it reads them.
  it('counts a job that waits for long among more jobs than a gateway remembers', async () => {
    expect(await accept(createGateway(), 'first', 600)).toBe('accepted')
    for (let index = 0; index < MANY_JOBS; index++) putEndedJob(index)
    await clock.advanceAsync(RESERVATION_GRACE_MS)
    expect(await accept(createGateway(), 'second', 600)).toBe('over_limit')
  })

  it('counts a job no more once it has ended', async () => {
    const gateway = createGateway()
    expect(await accept(gateway, 'first', 600)).toBe('accepted')
    await end(gateway, 'first')
    expect(await accept(createGateway(), 'second', 600)).toBe('accepted')
  })
})
