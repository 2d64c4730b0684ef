import { createJobRecord } from '../jobRecord'
import { isPastRetention } from '../retention'

const JOB = createJobRecord([{ id: 'a', path: '/', headers: {}, body: Buffer.alloc(0), tokens: 1 }], { jobId: 'j', host: 'h', path: '/', nowMs: 1000, dueMs: 1, expiryMs: 1, maxAttempts: 1 })

describe('isPastRetention', () => {
  it('keeps a job for longer than its results are promised, and an open one for ever', () => {
    const done = { ...JOB, listed: [{ item: 0, outcome: 'completed' as const }] }
    expect(isPastRetention(done, 1000 + 120_000, 120_000)).toBe(false)
    expect(isPastRetention(done, 1000 + 181_000, 120_000)).toBe(true)
    expect(isPastRetention(JOB, 1000 + 999_000, 120_000)).toBe(false)
    expect(isPastRetention({ ...JOB, ended: true }, 1000 + 181_000, 120_000)).toBe(true)
  })
})
