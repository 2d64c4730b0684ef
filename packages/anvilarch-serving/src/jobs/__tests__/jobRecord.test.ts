import fc from 'fast-check'
import { countFailure, endJob, isClosed, recordOutcome, createJobRecord, openItems, waitingTokens } from '../jobRecord'
import type { JobRecord } from '../types'

const ITEM_COUNT = 6
const JOB = createJobRecord(
  Array.from({ length: ITEM_COUNT }, (_, index) => ({ id: `i${index}`, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 10 })),
  { jobId: 'j', host: 'h', path: '/p', nowMs: 1000, dueMs: 500, expiryMs: 5000, maxAttempts: 3 }
)

type Step = { step: 'complete' | 'give_up' | 'fail', item: number } | { step: 'end' }

function apply (job: JobRecord, step: Step): JobRecord {
  switch (step.step) {
    case 'complete':
      return recordOutcome(job, step.item, 'completed') ?? job
    case 'give_up':
      return recordOutcome(job, step.item, 'dead_letter') ?? job
    case 'fail':
      return countFailure(job, step.item) ?? job
    default:
      return endJob(job)
  }
}

const STEPS = fc.array(fc.oneof(
  { weight: 9, arbitrary: fc.record({ step: fc.constantFrom('complete' as const, 'give_up' as const, 'fail' as const), item: fc.nat(ITEM_COUNT - 1) }) },
  { weight: 1, arbitrary: fc.constant({ step: 'end' as const }) }
), { maxLength: 40 })

describe('a job', () => {
  it('never changes or repeats a position, and lists nothing after its end', () => {
    fc.assert(fc.property(STEPS, steps => {
      let job = JOB
      for (const step of steps) {
        const next = apply(job, step)
        expect(next.listed.slice(0, job.listed.length)).toEqual(job.listed)
        if (job.ended) expect(next.listed).toHaveLength(job.listed.length)
        expect(new Set(next.listed.map(entry => entry.item)).size).toBe(next.listed.length)
        expect(openItems(next).length).toBe(next.ended ? 0 : ITEM_COUNT - next.listed.length)
        expect(waitingTokens(next)).toBe(openItems(next).length * 10)
        expect(isClosed(next)).toBe(next.ended || next.listed.length === ITEM_COUNT)
        job = next
      }
    }), { seed: 20261202, numRuns: 1000 })
  })

  it('gives an item up after the attempts allowed', () => {
    const twice = countFailure(countFailure(JOB, 2) ?? JOB, 2) ?? JOB
    expect(twice.listed).toEqual([])
    expect(countFailure(twice, 2)?.listed).toEqual([{ item: 2, outcome: 'dead_letter' }])
  })
})
