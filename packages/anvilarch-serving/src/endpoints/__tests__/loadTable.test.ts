import { createFakeClock, type FakeClock } from 'anvilarch-utils'
import { createLoadTable, type LoadTable, MAX_SUSPECT_MS, REPORT_MAX_AGE_MS, REPORT_ROUND_TRIP_MS, INITIAL_SUSPECT_MS } from '../loadTable'

let clock: FakeClock
let table: LoadTable

beforeEach(() => {
  clock = createFakeClock(100_000)
  table = createLoadTable(clock)
})

describe('an endpoint that was removed', () => {
  // Guards against a memory leak: the end of a request must not create an entry again for an endpoint that was replaced.
  it('gets no new entry when a request to it ends', () => {
    table.onSent('e')
    table.remove('e')
    table.onEnded('e')
    table.onFailure('e')
    expect(table.loadOf('e')).toEqual({ online: 0, batchRunning: 0, ownInProgress: 0, suspected: false, ageMs: Infinity })
  })
})

describe('loadOf', () => {
  it('adds requests sent after the report and subtracts those that have ended since', () => {
    table.onReport({ startId: 'e', online: 4, batchRunning: 2, reachable: true })
    clock.advance(20)
    table.onSent('e')
    table.onSent('e')
    table.onEnded('e')
    expect(table.loadOf('e')).toMatchObject({ online: 5, batchRunning: 2, ownInProgress: 1, ageMs: 20 })
  })

  it('counts requests sent just before a report, which does not include them yet', () => {
    table.onReport({ startId: 'e', online: 0, batchRunning: 0, reachable: true })
    clock.advance(100)
    table.onSent('e')
    clock.advance(REPORT_ROUND_TRIP_MS / 2)
    table.onReport({ startId: 'e', online: 0, batchRunning: 0, reachable: true })
    expect(table.loadOf('e').online).toBe(1)
  })

  it('uses only own counts when the report has expired', () => {
    table.onReport({ startId: 'e', online: 12, batchRunning: 0, reachable: true })
    table.onSent('e')
    clock.advance(REPORT_MAX_AGE_MS + 1)
    expect(table.loadOf('e').online).toBe(1)
  })

  it('marks an endpoint that its agent cannot reach as suspected', () => {
    table.onReport({ startId: 'e', online: 0, batchRunning: 0, reachable: false })
    expect(table.loadOf('e').suspected).toBe(true)
  })

  it('suspects an endpoint for longer after each consecutive failure, and no longer after a success', () => {
    table.onSent('e')
    table.onFailure('e')
    clock.advance(INITIAL_SUSPECT_MS + 1)
    expect(table.loadOf('e').suspected).toBe(false)
    for (let index = 0; index < 10; index++) table.onFailure('e')
    clock.advance(MAX_SUSPECT_MS - 1)
    expect(table.loadOf('e').suspected).toBe(true)
    table.onSuccess('e')
    expect(table.loadOf('e').suspected).toBe(false)
  })
})
