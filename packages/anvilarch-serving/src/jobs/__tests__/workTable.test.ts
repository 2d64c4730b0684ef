import type { StoredRow } from '../../store/types'
import { createJobRecord } from '../jobRecord'
import { jobKey, encodeRecord } from '../jobRows'
import { createWorkTable } from '../workTable'

function row (version: number, ended = false, jobId = 'j'): StoredRow {
  const record = { ...createJobRecord([], { jobId, host: 'h', path: '/', nowMs: 0, dueMs: 1, expiryMs: 1, maxAttempts: 1 }), ended }
  return { ...encodeRecord(jobKey(jobId), record), version }
}

describe('createWorkTable', () => {
  // Guards against an ended job that runs again at one daemon after an older row has replaced the newer one.
  it('never replaces a row by an older one', () => {
    const table = createWorkTable()
    table.update(row(5, true))
    table.listeners.jobs.onChange({ change: 'put', row: row(4) })
    table.listeners.jobs.onChange({ change: 'removed', key: jobKey('j'), version: 4 })
    expect(table.job('j')).toMatchObject({ version: 5, record: { ended: true } })
    table.listeners.jobs.onChange({ change: 'removed', key: jobKey('j'), version: 6 })
    expect(table.job('j')).toBeUndefined()
  })

  it('removes rows that a listing no longer contains', () => {
    const table = createWorkTable()
    table.update(row(5))
    table.listeners.jobs.onListing([row(9, false, 'k')], 9)
    expect(table.job('j')).toBeUndefined()
    expect(table.job('k')).toBeDefined()
  })

  it('keeps rows that are newer than an empty listing, and removes all others', () => {
    const table = createWorkTable()
    table.update(row(5))
    table.listeners.jobs.onListing([], 4)
    expect(table.job('j')).toBeDefined()
    table.listeners.jobs.onListing([], 5)
    expect(table.job('j')).toBeUndefined()
  })

  it('ignores rows that it cannot decode', () => {
    const table = createWorkTable()
    table.update({ ...jobKey('j'), value: Buffer.from('{'), version: 1 })
    expect(table.job('j')).toBeUndefined()
  })
})
