import { findFailures } from '../failures'
import { logVolume } from '../logVolume'
import type { LogLine } from '../readLogs'
import { countConcurrentFailures, findAbruptEnds, findRelatedEvents } from '../relatedEvents'

function line (second: number, process: string, message: string, fields: Record<string, unknown> = {}): LogLine {
  return { at: `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`, process, message, ...fields }
}

describe('findFailures', () => {
  it('finds requests, jobs and items that failed or were late, in order', () => {
    const failures = findFailures([
      line(9, 'a', 'item settled', { itemId: 'late', end: 'completed' }),
      line(1, 'a', 'item claimed', { itemId: 'late', dueInMs: 3000 }),
      line(2, 'a', 'item claimed', { itemId: 'fine', dueInMs: 9000 }),
      line(3, 'a', 'item settled', { itemId: 'fine', end: 'completed' }),
      line(4, 'g', 'request ended', { requestId: 'r1', outcome: 'broken_off', reason: 'silent' }),
      line(5, 'g', 'request ended', { requestId: 'r2', outcome: 'answered' }),
      line(6, 'g', 'job submitted', { jobId: 'j1', outcome: 'over_limit' })
    ])
    expect(failures.map(({ id, outcome, reason }) => [id, outcome, reason])).toEqual([
      ['r1', 'broken_off', 'silent'], ['j1', 'job not accepted', 'over_limit'], ['late', 'item late', '5000 ms']
    ])
  })
})

describe('findAbruptEnds', () => {
  it('returns processes that restarted without having logged a stop', () => {
    const lines = [
      line(0, 'killed', 'started'), line(3, 'killed', 'request ended'), line(6, 'killed', 'started'),
      line(0, 'stopped', 'started'), line(2, 'stopped', 'stopping'), line(4, 'stopped', 'gateway stopped'), line(6, 'stopped', 'started')
    ]
    expect(findAbruptEnds(lines)).toEqual([{ process: 'killed', lastLineAt: lines[1].at, startedAgainAt: lines[2].at }])
  })
})

describe('findRelatedEvents', () => {
  it('returns events of the processes and endpoints of the given lines', () => {
    const selected = [line(10, 'g', 'attempt failed', { requestId: 'r', endpoint: 'e1' })]
    const lines = [
      ...selected,
      line(9, 'g', 'endpoint removed from the list', { endpoint: 'e1' }),
      line(9, 'g', 'endpoint removed from the list', { endpoint: 'e2' }),
      line(9, 'other', 'store does not serve this host'),
      line(11, 'g', 'store does not serve this host'),
      line(1, 'g', 'started')
    ]
    expect(findRelatedEvents(lines, selected).map(({ message }) => message)).toEqual(['endpoint removed from the list', 'store does not serve this host'])
  })
})

describe('countConcurrentFailures', () => {
  it('counts other requests that failed in the same moment', () => {
    const end = line(5, 'g', 'request ended', { requestId: 'r1', outcome: 'client_left' })
    const lines = [
      end,
      line(5, 'h', 'request ended', { requestId: 'r2', outcome: 'broken_off' }),
      line(5, 'g', 'request ended', { requestId: 'r3', outcome: 'answered' }),
      line(6, 'g', 'request ended', { requestId: 'r4', outcome: 'timeout' })
    ]
    expect(countConcurrentFailures(lines, [end])).toBe(1)
  })
})

describe('logVolume', () => {
  it('counts lines and bytes by message, and each request once', () => {
    const lines = [line(1, 'g', 'attempt failed', { requestId: 'r' }), line(2, 'g', 'request ended', { requestId: 'r' }), line(3, 'g', 'started')]
    const volume = logVolume(lines)
    expect(volume).toMatchObject({ lineCount: 3, requestCount: 1 })
    expect(volume.byteCount).toBe(lines.reduce((sum, each) => sum + JSON.stringify(each).length + 1, 0))
  })
})
