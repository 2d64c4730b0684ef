import { createFakeClock, SILENT_LOGGER } from 'anvilarch-utils'
import { createJobRecord, openItems } from '../../jobs/jobRecord'
import { claimKey, decodeJob, encodeRecord, jobKey } from '../../jobs/jobRows'
import type { ChangeOutcome } from '../../jobs/jobStore'
import type { ClaimRecord } from '../../jobs/types'
import { createWorkTable } from '../../jobs/workTable'
import { createMemoryStore } from '../__fixtures__/memoryStore'
import { giveUpItems } from '../claims'

const ITEM_COUNT = 3
const ITEMS = Array.from({ length: ITEM_COUNT }, (_, index) => ({ id: `i${index}`, path: '/', headers: {}, body: Buffer.alloc(0), tokens: 1 }))
const JOB = createJobRecord(ITEMS, { jobId: 'job', account: undefined, host: 'h', path: '/', nowMs: 0, dueMs: 1, expiryMs: 1, maxAttempts: 1 })

const clock = createFakeClock()

/** Gives up all items without a claim in the local copy, which has the job alone, while the store has this claim on the first item. */
async function giveUp (claim: Pick<ClaimRecord, 'held'>): Promise<{ outcome: ChangeOutcome, listed: number[], claimStored: boolean }> {
  const store = createMemoryStore(clock, () => 'done')
  const work = createWorkTable()
  const claimRow = encodeRecord(claimKey('job', 0), { jobId: 'job', item: 0, runner: 'other', incarnation: 'x', savedEventId: 0, ...claim })
  store.put(jobKey('job'), JOB)
  const jobRow = store.row(jobKey('job'))
  if (jobRow === undefined) throw new Error('the job was not stored')
  work.update(jobRow)
  store.client.commit({ conditions: [], puts: [claimRow], removes: [] }).catch(() => {})
  await clock.advanceAsync(100)
  const parts = { store: store.client, work, clock, log: SILENT_LOGGER, runner: 'me', incarnation: 'now', maxRowBytes: 1000 }
  const isHeld = (item: number): boolean => work.claim('job', item)?.record.held === true
  const giving = giveUpItems(parts, 'job', job => openItems(job).filter(item => !isHeld(item)))
  await clock.advanceAsync(5000)
  const listed = decodeJob(store.row(jobKey('job')) ?? claimRow).unwrap().listed.map(entry => entry.item)
  return { outcome: await giving, listed, claimStored: store.row(claimKey('job', 0)) !== undefined }
}

describe('giveUpItems', () => {
  // Guards against an item that is given up while a runner has it, because the local copy is older than the claim.
  it('leaves an item that another runner has claimed meanwhile', async () => {
    expect(await giveUp({ held: true })).toEqual({ outcome: 'applied', listed: [1, 2], claimStored: true })
  })

  it('removes the claims of the items that it lists', async () => {
    expect(await giveUp({ held: false })).toEqual({ outcome: 'applied', listed: [0, 1, 2], claimStored: false })
  })
})
