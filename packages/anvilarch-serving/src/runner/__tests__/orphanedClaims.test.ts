import { createJobRecord, recordOutcome } from '../../jobs/jobRecord'
import type { ClaimRecord, JobRecord } from '../../jobs/types'
import { type OrphanedClaim, orphanedClaims } from '../orphanedClaims'

const ITEMS = ['i0', 'i1'].map(id => ({ id, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 100 }))
const JOB = createJobRecord(ITEMS, { jobId: 'job', account: undefined, host: 'h', path: '/', nowMs: 0, dueMs: 1000, expiryMs: 2000, maxAttempts: 3 })
const OWN: ClaimRecord = { jobId: 'job', item: 1, runner: 'me', incarnation: 'now', held: true, savedEventId: 0 }

function find (claim: Partial<ClaimRecord>, inHand: number[] = [], job: JobRecord = JOB): OrphanedClaim[] {
  const work = {
    jobs: () => [{ record: job, version: 1 }],
    claim: (_jobId: string, item: number) => item === OWN.item ? { record: { ...OWN, ...claim }, version: 1 } : undefined
  }
  return orphanedClaims(work, { runner: 'me', incarnation: 'now' }, (_jobId, item) => inHand.includes(item))
}

describe('orphanedClaims', () => {
  it('finds a claim of this process whose item is not in hand', () => {
    expect(find({}, [0])).toEqual([{ jobId: 'job', item: 1, itemId: 'i1' }])
  })

  it.each<[string, OrphanedClaim[]]>([
    ['the item is in hand', find({}, [1])],
    ['the claim is released', find({ held: false })],
    ['another runner holds it', find({ runner: 'other' })],
    ['a former process of this runner holds it', find({ incarnation: 'before' })],
    ['the item has an outcome', find({}, [], recordOutcome(JOB, 1, 'completed'))],
    ['the job has ended', find({}, [], { ...JOB, ended: true })]
  ])('finds none when %s', (_name, found) => {
    expect(found).toEqual([])
  })
})
