import { decodeVersionRecord, encodeVersionRecord, isCurrent, nextRecord, recentVersions, type VersionRecord } from '../versionRecord'

const RETENTION_MS = 10_000
const NOW_MS = 100_000
const STARTED = { followedSinceMs: NOW_MS - 100, isFirstStart: false }
const STORED: VersionRecord = { listed: ['v1'], recent: ['v1', 'v0'], changedAtMs: NOW_MS - 5000, completeSinceMs: 7 }

describe('the next record of a service', () => {
  // Guards against streams of a version that is forgotten because all gateways were lost while it was replaced.
  it('keeps the versions of the time before the writer started', () => {
    expect(nextRecord({ listed: ['v2'], recent: ['v2'], ...STARTED }, STORED, NOW_MS, RETENTION_MS))
      .toEqual({ listed: ['v2'], recent: ['v2', 'v1', 'v0'], changedAtMs: NOW_MS, completeSinceMs: 7 })
  })

  it('leaves out versions that were not listed within the retention', () => {
    const stored = { ...STORED, changedAtMs: NOW_MS - RETENTION_MS - 1 }
    expect(nextRecord({ listed: ['v2'], recent: ['v2'], ...STARTED }, stored, NOW_MS, RETENTION_MS).recent).toEqual(['v2', 'v1'])
  })

  it('is what the writer knows if it has followed the list for the retention', () => {
    const own = { listed: ['v2'], recent: ['v2'], followedSinceMs: NOW_MS - RETENTION_MS - 1, isFirstStart: false }
    expect(nextRecord(own, STORED, NOW_MS, RETENTION_MS).recent).toEqual(['v2'])
  })

  it('is complete only since the start of its first writer, unless the fleet starts for the first time', () => {
    const own = { listed: ['v1'], recent: ['v1'], ...STARTED }
    expect(nextRecord(own, undefined, NOW_MS, RETENTION_MS).completeSinceMs).toBe(NOW_MS - 100)
    expect(nextRecord(own, { ...STORED, completeSinceMs: undefined }, NOW_MS, RETENTION_MS).completeSinceMs).toBe(NOW_MS - 100)
    expect(nextRecord({ ...own, isFirstStart: true }, undefined, NOW_MS, RETENTION_MS).completeSinceMs).toBeLessThan(0)
  })
})

describe('a record', () => {
  it('tells the recent versions, or only those that are still listed after the retention', () => {
    expect(recentVersions(STORED, NOW_MS, RETENTION_MS)).toEqual(['v1', 'v0'])
    expect(recentVersions(STORED, STORED.changedAtMs + RETENTION_MS + 1, RETENTION_MS)).toEqual(['v1'])
  })

  it('is current if it lists the same versions', () => {
    expect([['v1'], ['v2'], ['v1', 'v2'], []].map(listed => isCurrent(STORED, listed))).toEqual([true, false, false, false])
  })

  it('is read as it was written, and rows of an older software version without a time of completeness', () => {
    expect(decodeVersionRecord(encodeVersionRecord(STORED)).unwrap()).toEqual(STORED)
    expect(decodeVersionRecord(Buffer.from('{"listed":["v1"],"recent":[],"changedAtMs":1}')).unwrap()).toEqual({ listed: ['v1'], recent: ['v1'], changedAtMs: 1, completeSinceMs: undefined })
    for (const text of ['x', '{}', '{"listed":1,"recent":[],"changedAtMs":1}']) expect(decodeVersionRecord(Buffer.from(text)).err).toBe(true)
  })
})
