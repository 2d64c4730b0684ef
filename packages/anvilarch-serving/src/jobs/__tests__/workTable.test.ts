import type { StoredRow } from '../../store/types'
import { createJobRecord } from '../jobRecord'
import { jobKey, encodeRecord } from '../jobRows'
import { createWorkTable } from '../workTable'

function row (version: number, ended = false): StoredRow {
  const record = { ...createJobRecord([], { jobId: 'j', host: 'h', path: '/', nowMs: 0, dueMs: 1, expiryMs: 1, maxAttempts: 1 }), ended }
  return { ...encodeRecord(jobKey('j'), record), version }
}

describe('createWorkTable', () => {
  // Guards against this: an ended job starts running again at one daemon.
  it('never goes back to an older row', () => {
    const table = createWorkTable()
    table.update(row(5, true))
    table.listeners.jobs.onChange({ change: 'put', row: row(4) })
    table.listeners.jobs.onChange({ change: 'removed', key: jobKey('j'), version: 4 })
    expect(table.job('j')).toMatchObject({ version: 5, record: { ended: true } })
    table.listeners.jobs.onChange({ change: 'removed', key: jobKey('j'), version: 6 })
    expect(table.job('j')).toBeUndefined()
  })

  it('forgets what a listing no longer has', () => {
    const table = createWorkTable()
    table.update(row(5))
    const other = { ...row(9), ...jobKey('k') }
    table.listeners.jobs.onListing([{ ...other, value: Buffer.from(JSON.stringify({ jobId: 'k', listed: [], itemIds: [] })) }], 9)
    expect(table.job('j')).toBeUndefined()
    expect(table.job('k')).toBeDefined()
  })

  it('keeps what is newer than a listing, and forgets all else of an empty one', () => {
    const table = createWorkTable()
    table.update(row(5))
    table.listeners.jobs.onListing([], 4)
    expect(table.job('j')).toBeDefined()
    table.listeners.jobs.onListing([], 5)
    expect(table.job('j')).toBeUndefined()
  })

  it('ignores rows that it cannot read', () => {
    const table = createWorkTable()
    table.update({ ...jobKey('j'), value: Buffer.from('{'), version: 1 })
    expect(table.job('j')).toBeUndefined()
  })
})
