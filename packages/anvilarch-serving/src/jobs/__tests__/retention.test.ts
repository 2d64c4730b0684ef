import { createFakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { type CallOutcome, createMemoryStore } from '../../runner/__fixtures__/memoryStore'
import { createJobCache } from '../jobCache'
import { createJobRecord } from '../jobRecord'
import { jobKey, submissionObject } from '../jobRows'
import { isPastRetention, removeJob } from '../retention'

const JOB = createJobRecord([{ id: 'a', path: '/', headers: {}, body: Buffer.alloc(0), tokens: 1 }], { jobId: 'j', host: 'h', path: '/', nowMs: 1000, dueMs: 1, expiryMs: 1, maxAttempts: 1 })

describe('isPastRetention', () => {
  it('keeps a closed job beyond the promised retention, and an open job without limit', () => {
    const done = { ...JOB, listed: [{ item: 0, outcome: 'completed' as const }] }
    expect(isPastRetention(done, 1000 + 120_000, 120_000)).toBe(false)
    expect(isPastRetention(done, 1000 + 181_000, 120_000)).toBe(true)
    expect(isPastRetention(JOB, 1000 + 999_000, 120_000)).toBe(false)
    expect(isPastRetention({ ...JOB, ended: true }, 1000 + 181_000, 120_000)).toBe(true)
  })
})

describe('removeJob', () => {
  // Guards against an object that is never removed because the row that names it has been removed first.
  it.each<CallOutcome>(['refused', 'lost', 'unanswered'])('keeps the row of the job until its submission is known to be removed: %s', async outcome => {
    const clock = createFakeClock()
    let objectOutcome: CallOutcome = 'done'
    const store = createMemoryStore(clock, () => objectOutcome)
    store.putObject(submissionObject(JOB.jobId), Buffer.from('[]'))
    store.put(jobKey(JOB.jobId), JOB)
    const { removeObject } = store.client
    const client = { ...store.client, removeObject: async (name: string) => { objectOutcome = outcome; const removed = await removeObject(name); objectOutcome = 'done'; return removed } }
    const parts = { store: client, work: createJobCache(), clock, log: SILENT_LOGGER }
    const remove = async (): Promise<boolean> => {
      const removing = removeJob(parts, JOB, SILENT_LOGGER)
      await clock.advanceAsync(5000)
      return await removing
    }
    expect(await remove()).toBe(false)
    expect(store.row(jobKey(JOB.jobId))).toBeDefined()
    outcome = 'done'
    expect(await remove()).toBe(true)
    expect(store.row(jobKey(JOB.jobId))).toBeUndefined()
    expect(store.object(submissionObject(JOB.jobId))).toBeUndefined()
  })
})
